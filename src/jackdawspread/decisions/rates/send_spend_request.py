"""Effect: send a spend request to a peer."""

from typing import NamedTuple


class SendSpendRequest(NamedTuple):
    """Asks a peer to grant a number of requests from its share."""

    peer: str
    spend_request_id: str
    requests: int
