"""Version conflict between two changes of the configuration."""

from typing import NamedTuple

from jackdawspread.messages.configuration_document import ConfigurationDocument


class LostRace(NamedTuple):
    """The configuration that the operator requested and the one that is stored."""

    yours: ConfigurationDocument
    current: ConfigurationDocument
