"""Request to spend from a peer's share of a rate."""

from typing import NamedTuple


class SpendRequest(NamedTuple):
    """Asks a peer to spend ``requests`` requests of a workspace's share."""

    id: str
    workspace: str
    requests: int
