"""Member chosen for a read."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class MemberTarget(NamedTuple):
    """Member, the position it must hold and how long it may wait for it."""

    address: str
    role: str
    position: Position | None
    wait_ms: int
