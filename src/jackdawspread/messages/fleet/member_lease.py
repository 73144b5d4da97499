"""Member connection that is leased to one operation."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.connection_context import ConnectionContext
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.member_exchange import MemberExchange


class MemberLease(NamedTuple):
    """Grants exclusive use of a member connection until it is returned.

    Parameters
    ----------
    connection : int
        Id of the connection, unique in the process.
    member : str
        Id of the member.
    group : str
        Member group.
    exchanges : trio.MemorySendChannel
        Receives the commands for the connection.
    context : ConnectionContext
        Session state that is set on the connection.
    requires_primary : bool
        Whether the member must be the primary; otherwise its log must have
        ``required_position``.
    required_position : Position or None
        Position that a replica's log must have reached before it serves a read.
    position_age_s : float
        Age of the position sample from which ``required_position`` was taken.
    """

    connection: int
    member: str
    group: str
    exchanges: MemorySendChannel[MemberExchange]
    context: ConnectionContext
    requires_primary: bool
    required_position: Position | None
    position_age_s: float
