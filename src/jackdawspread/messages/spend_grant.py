"""Grant from a peer's share of a rate."""

from typing import NamedTuple


class SpendGrant(NamedTuple):
    """Grants a number of requests, which the sender has debited; may be 0."""

    id: str
    workspace: str
    requests: int
