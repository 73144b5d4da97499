"""Grant of a member connection by a pool host."""

from typing import NamedTuple

from jackdawspread.messages.fleet.connection_context import ConnectionContext
from jackdawspread.messages.position import Position


class LeaseGranted(NamedTuple):
    """Grants a connection; the fields are those of a ``MemberLease``."""

    lease: int
    member: str
    group: str
    context: ConnectionContext
    requires_primary: bool
    required_position: Position | None
    position_age_s: float
    is_cold: bool = False
