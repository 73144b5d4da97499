"""Member chosen for a request."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class MemberTarget(NamedTuple):
    """Member, the position it must have, and how long it may wait for the position."""

    address: str
    role: str
    position: Position | None
    wait_ms: int
