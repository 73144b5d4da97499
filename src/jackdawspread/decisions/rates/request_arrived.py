"""Event: a request needs a token."""

from typing import NamedTuple


class RequestArrived(NamedTuple):
    """Request with its deadline (monotonic seconds) and the peers to ask."""

    id: str
    deadline: float
    peers: tuple[str, ...]
