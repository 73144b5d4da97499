"""Event: a peer asks to spend from this instance's share."""

from typing import NamedTuple


class PeerAsked(NamedTuple):
    """Peer, id of its ask and number of requests."""

    peer: str
    ask_id: str
    requests: int
