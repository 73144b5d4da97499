"""Position of the primary with the time of the probe that reported it."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class PositionSample(NamedTuple):
    """Position that the primary reported in its answer to a probe sent at ``time``.

    The primary read the position after ``time``, so a member that has it has all data
    committed before ``time``.
    """

    time: float
    position: Position
