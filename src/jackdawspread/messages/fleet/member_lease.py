"""Member connection that is leased to one operation."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.connection_context import ConnectionContext
from jackdawspread.messages.pool_hosts.lease_event import LeaseEvent
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.member_exchange import MemberExchange


class MemberLease(NamedTuple):
    """Grants exclusive use of a member connection until it is returned.

    Parameters
    ----------
    connection : int
        Id of the connection, unique in the process or on the stream to its host.
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
    host : str
        Id of the pool host that has the connection; empty if it is this instance.
    host_link : trio.MemorySendChannel or None
        Inbox of the stream to the pool host.
    is_cold : bool
        Whether each statement for the member needs a token.
    """

    connection: int
    member: str
    group: str
    exchanges: MemorySendChannel[MemberExchange]
    context: ConnectionContext
    requires_primary: bool
    required_position: Position | None
    position_age_s: float
    host: str = ""
    host_link: MemorySendChannel[LeaseEvent] | None = None
    is_cold: bool = False
