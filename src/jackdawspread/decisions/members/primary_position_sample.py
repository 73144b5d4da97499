"""Log position of a primary at a known time."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class PrimaryPositionSample(NamedTuple):
    """Log position that covers every commit acknowledged before ``at``.

    ``at`` is in seconds of the boot-time clock, which also counts time in suspension,
    because data grows older meanwhile.
    """

    position: Position
    at: float
