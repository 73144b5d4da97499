"""Effect: ask a peer to spend from its share."""

from typing import NamedTuple


class SendSpendRequest(NamedTuple):
    """Asks a peer for a number of requests."""

    peer: str
    spend_request_id: str
    requests: int
