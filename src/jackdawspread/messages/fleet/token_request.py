"""Datagram that asks the holder of a rate lease for a token."""

from typing import NamedTuple


class TokenRequest(NamedTuple):
    """Asks for a token of a workspace's rate; the sender uses each ``id`` once."""

    id: int
    workspace: str
