"""Relation of a position to a log."""

from enum import Enum, auto


class PositionRelation(Enum):
    """Whether a log contains a position, may still receive it, or never will."""

    CONTAINED = auto()
    BEHIND = auto()
    DIVERGED = auto()
