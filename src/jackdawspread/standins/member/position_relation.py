"""Where a position stands in relation to a log."""

from enum import Enum, auto


class PositionRelation(Enum):
    """Whether a history contains a position, may still, or never will."""

    CONTAINED = auto()
    BEHIND = auto()
    DIVERGED = auto()
