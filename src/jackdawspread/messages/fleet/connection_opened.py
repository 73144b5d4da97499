"""Outcome of an attempt to open a member connection."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.statements.member_exchange import MemberExchange


class ConnectionOpened(NamedTuple):
    """A member connection is ready, or could not be opened.

    Parameters
    ----------
    connection : int
        Id of the connection.
    member : str
        Id of the member.
    exchanges : trio.MemorySendChannel or None
        Receives the commands; None if the connection failed.
    error : str
        Error code in lower case, or a description of the failure; empty on success.
    """

    connection: int
    member: str
    exchanges: MemorySendChannel[MemberExchange] | None
    error: str
