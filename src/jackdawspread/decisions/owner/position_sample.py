"""Position of the primary at a time on the owner's clock."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class PositionSample(NamedTuple):
    """Position that the primary reported when it was asked at ``time``.

    The position was read after ``time``, so a member that holds it has all data
    committed before ``time``.
    """

    time: float
    position: Position
