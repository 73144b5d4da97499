"""Grant from a peer's share of a rate."""

from typing import NamedTuple


class SpendGrant(NamedTuple):
    """Grants ``requests`` requests, already debited by the sender; may be 0."""

    id: str
    workspace: str
    requests: int
