"""Member connection in the hands of one operation."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.connection_context import ConnectionContext
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.member_exchange import MemberExchange


class MemberLease(NamedTuple):
    """Exclusive use of a member connection until it is returned.

    Parameters
    ----------
    connection : int
        Id of the connection, unique in the process.
    member : str
        Id of the member.
    group : str
        Member group.
    exchanges : trio.MemorySendChannel
        Takes the commands for the connection.
    context : ConnectionContext
        Session state that the connection holds.
    requires_primary : bool
        Whether the member must be the primary; else it must have
        ``required_position``.
    required_position : Position or None
        Position that a replica's log must have reached for a read.
    position_age_s : float
        Age in seconds of the sample behind ``required_position``.
    """

    connection: int
    member: str
    group: str
    exchanges: MemorySendChannel[MemberExchange]
    context: ConnectionContext
    requires_primary: bool
    required_position: Position | None
    position_age_s: float
