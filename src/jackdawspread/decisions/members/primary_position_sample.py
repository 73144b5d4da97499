"""Log position of a primary at a known time."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class PrimaryPositionSample(NamedTuple):
    """Every commit acknowledged before ``at`` is at or before ``position``.

    ``at`` is in seconds, counting suspension: data goes on aging meanwhile.
    """

    position: Position
    at: float
