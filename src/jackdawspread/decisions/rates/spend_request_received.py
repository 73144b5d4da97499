"""Event: a peer asks to spend from this instance's share."""

from typing import NamedTuple


class SpendRequestReceived(NamedTuple):
    """Peer, id of its ask and number of requests."""

    peer: str
    spend_request_id: str
    requests: int
