"""Datagram that asks a peer for tokens."""

from typing import NamedTuple


class TokenRequest(NamedTuple):
    """Asks for tokens of a workspace; ``id`` is unique at the sender."""

    id: int
    workspace: str
    tokens: int
