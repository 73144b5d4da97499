"""Request of an instance for a copy of the configuration."""

from typing import NamedTuple

from jackdawspread.messages.fleet.configuration_revision import ConfigurationRevision


class ConfigurationCopyRequest(NamedTuple):
    """Asks for the changes since ``base``, or for everything since ``NO_REVISION``."""

    base: ConfigurationRevision
