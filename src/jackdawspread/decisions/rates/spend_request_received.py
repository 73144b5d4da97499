"""Event: a spend request of a peer has arrived."""

from typing import NamedTuple


class SpendRequestReceived(NamedTuple):
    """Spend request of a peer for a number of requests from this instance's share."""

    peer: str
    spend_request_id: str
    requests: int
