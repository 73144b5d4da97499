"""Member that can take a read now."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class ReadCandidate(NamedTuple):
    """Member with its load and the last position that it reported as applied.

    ``lag`` is the replica's age in seconds when it last reported; infinite if
    it is unknown.
    """

    address: str
    role: str
    is_free: bool
    in_flight: int
    applied: Position | None
    lag: float
