"""Identity of the content of a configuration."""

from typing import NamedTuple


class ConfigurationRevision(NamedTuple):
    """Names the content of a configuration.

    A restored store may give a version to another content, so the version alone does
    not name it.

    Parameters
    ----------
    version : int
        Version that the operator has given; 0 stands for no configuration.
    checksum : int
        CRC-32 of the content.
    """

    version: int
    checksum: int


NO_REVISION = ConfigurationRevision(0, 0)
