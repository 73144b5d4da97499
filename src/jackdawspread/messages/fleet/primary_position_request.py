"""Datagram that asks a pool host for the position of a group's primary."""

from typing import NamedTuple


class PrimaryPositionRequest(NamedTuple):
    """Asks for the newest known position; the sender uses each ``id`` once."""

    id: int
    group: str
