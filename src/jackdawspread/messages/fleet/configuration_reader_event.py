"""Orders that the configuration reader handles."""

from jackdawspread.messages.fleet.confirm_configuration import ConfirmConfiguration
from jackdawspread.messages.fleet.store_reading import StoreReading

ConfigurationReaderEvent = ConfirmConfiguration | StoreReading
