"""Release of a lease to the pool host."""

from typing import NamedTuple

from jackdawspread.messages.fleet.connection_context import ConnectionContext


class LeaseReleased(NamedTuple):
    """Releases a connection; the host closes it if ``context`` is None."""

    lease: int
    context: ConnectionContext | None
