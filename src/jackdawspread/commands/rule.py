"""Rules that the head office sets."""

from enum import StrEnum


class Rule(StrEnum):
    """Rule of the head office: the default limits, or a bound of overrides."""

    DEFAULT = "default"
    LOWEST = "lowest"
    HIGHEST = "highest"
