"""A socket was closed by either end."""

from typing import NamedTuple


class ConnectionLost(NamedTuple):
    """A socket was closed by either end."""

    connection: int
