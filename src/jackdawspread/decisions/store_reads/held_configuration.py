"""Configuration that an instance uses."""

from typing import NamedTuple

from jackdawspread.messages.fleet.configuration_revision import ConfigurationRevision
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration


class HeldConfiguration(NamedTuple):
    """Configuration in use, and when the store last had it.

    Parameters
    ----------
    configuration : FleetConfiguration
        The configuration.
    revision : ConfigurationRevision
        Its identity.
    epoch : int
        Epoch of the store in which the store had it.
    confirmed_at : float
        Boot-time clock in seconds at which the store had it.
    confirmed_s : float
        The same moment on the store's clock, in seconds.
    store_version : int
        Version of the store up to which all changes are known, those of evacuations
        too; 0 if it is not known.
    """

    configuration: FleetConfiguration
    revision: ConfigurationRevision
    epoch: int
    confirmed_at: float
    confirmed_s: float
    store_version: int
