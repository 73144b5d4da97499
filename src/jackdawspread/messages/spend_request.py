"""Request to spend from a peer's share of a rate."""

from typing import NamedTuple


class SpendRequest(NamedTuple):
    """Asks a peer for a number of requests from its share of a workspace's rate."""

    id: str
    workspace: str
    requests: int
