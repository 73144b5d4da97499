"""Order to get a copy of the configuration from another instance."""

from typing import NamedTuple

from jackdawspread.messages.fleet.configuration_revision import ConfigurationRevision


class FetchConfiguration(NamedTuple):
    """Asks the configuration copier for the changes since ``base``.

    ``source`` is the id of the instance that has the newer configuration, ``address``
    its ``IP:port``.
    """

    source: str
    address: str
    base: ConfigurationRevision
