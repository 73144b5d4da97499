"""Member that may serve a read."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class ReadCandidate(NamedTuple):
    """Member with its load and the last position that it is known to have applied.

    ``lag`` is an upper bound, in seconds, of the age of the replica's data at its last
    probe; infinite if unknown.
    """

    address: str
    role: str
    is_free: bool
    in_flight: int
    applied: Position | None
    lag: float
