"""A socket was accepted."""

from typing import NamedTuple


class ConnectionOpened(NamedTuple):
    """A socket was accepted."""

    connection: int
