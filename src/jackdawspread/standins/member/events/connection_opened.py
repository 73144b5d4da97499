"""Event: a connection was accepted."""

from typing import NamedTuple


class ConnectionOpened(NamedTuple):
    """Event: a connection was accepted."""

    connection: int
