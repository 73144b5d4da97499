"""Effect: answer a peer's ask."""

from typing import NamedTuple


class SendSpendGrant(NamedTuple):
    """Grants a number of requests to a peer; 0 if none are left."""

    peer: str
    spend_request_id: str
    requests: int
