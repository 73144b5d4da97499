"""Datagram that asks a peer for tokens."""

from typing import NamedTuple


class TokenRequest(NamedTuple):
    """Asks for tokens of a workspace's rate; the sender uses each ``id`` once."""

    id: int
    workspace: str
    tokens: int
