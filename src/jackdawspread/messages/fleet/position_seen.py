"""Position sample: the log position of a primary at a known time."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class PositionSeen(NamedTuple):
    """Reports the log position of a member that was the primary when it answered.

    Every commit that was acknowledged before ``sent_at`` (boot-time clock, seconds)
    is at or before ``position``.
    """

    group: str
    member: str
    position: Position
    sent_at: float
    confirms_write: bool
