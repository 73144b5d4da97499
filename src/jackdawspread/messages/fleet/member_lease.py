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
        Whether the member must lead; else it must hold ``after``.
    after : Position or None
        Position that a replica's log must hold for a read.
    position_age_s : float
        Age of the evidence behind ``after``.
    """

    connection: int
    member: str
    group: str
    exchanges: MemorySendChannel[MemberExchange]
    context: ConnectionContext
    requires_primary: bool
    after: Position | None
    position_age_s: float
