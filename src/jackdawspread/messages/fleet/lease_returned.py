"""Return of a member connection."""

from typing import NamedTuple

from jackdawspread.messages.fleet.connection_context import ConnectionContext


class LeaseReturned(NamedTuple):
    """Gives a connection back, with the state that it now holds.

    ``context`` is None if the connection is closed or must not be used again.
    """

    connection: int
    member: str
    context: ConnectionContext | None
