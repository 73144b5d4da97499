"""Event: a peer has answered a spend request."""

from typing import NamedTuple


class SpendGrantReceived(NamedTuple):
    """Number of requests that a peer has granted, which may be 0.

    ``peers`` are the peers to which a spend request can be sent.
    """

    spend_request_id: str
    requests: int
    peers: tuple[str, ...]
