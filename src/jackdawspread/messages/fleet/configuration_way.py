"""How a configuration reached an instance."""

from enum import StrEnum


class ConfigurationWay(StrEnum):
    """The call that brought a configuration."""

    FEED = "feed"
    READ = "read"
    PEER = "peer"
