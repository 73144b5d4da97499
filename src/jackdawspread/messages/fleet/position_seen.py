"""Proof of a primary's log position."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class PositionSeen(NamedTuple):
    """Position of a member that led when it answered.

    Every commit that was acknowledged before ``sent_at`` (seconds, counting
    suspension) is at or before ``position``.
    """

    group: str
    member: str
    position: Position
    sent_at: float
    confirms_write: bool
