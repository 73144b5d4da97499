"""End of a member connection."""

from typing import NamedTuple


class ConnectionClosed(NamedTuple):
    """A member connection has ended, idle or not."""

    connection: int
    member: str
