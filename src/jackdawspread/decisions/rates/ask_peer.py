"""Effect: ask a peer to spend from its share."""

from typing import NamedTuple


class AskPeer(NamedTuple):
    """Asks a peer for a number of requests."""

    peer: str
    ask_id: str
    requests: int
