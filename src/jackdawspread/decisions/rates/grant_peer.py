"""Effect: answer a peer's ask."""

from typing import NamedTuple


class GrantPeer(NamedTuple):
    """Grants a number of requests to a peer; 0 if none are left."""

    peer: str
    ask_id: str
    requests: int
