"""Return of a leased member connection."""

from typing import NamedTuple

from jackdawspread.messages.fleet.connection_context import ConnectionContext


class LeaseReturned(NamedTuple):
    """Returns a connection to the router, with the session state now set on it.

    ``context`` is None if the connection is closed or must not be used again.
    """

    connection: int
    member: str
    context: ConnectionContext | None
