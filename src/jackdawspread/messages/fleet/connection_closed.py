"""End of a member connection."""

from typing import NamedTuple


class ConnectionClosed(NamedTuple):
    """A member connection has closed, whether it was idle or leased."""

    connection: int
    member: str
