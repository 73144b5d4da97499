"""Event: a request needs a token."""

from typing import NamedTuple


class RequestArrived(NamedTuple):
    """Request that needs a token.

    ``deadline`` is a monotonic time in seconds; ``peers`` are the peers to which a
    spend request can be sent.
    """

    id: str
    deadline: float
    peers: tuple[str, ...]
