"""Event: a socket was closed by either side."""

from typing import NamedTuple


class ConnectionLost(NamedTuple):
    """Event: a socket was closed by either side."""

    connection: int
