"""Effect: answer a spend request of a peer."""

from typing import NamedTuple


class SendSpendGrant(NamedTuple):
    """Grants a number of requests to a peer, 0 if no tokens are left."""

    peer: str
    spend_request_id: str
    requests: int
