"""Rules of the head office."""

from enum import StrEnum


class Rule(StrEnum):
    """Which of the head office's limits a command sets."""

    DEFAULT = "default"
    LOWEST = "lowest"
    HIGHEST = "highest"
