"""Event: a peer answered an ask."""

from typing import NamedTuple


class SpendGrantReceived(NamedTuple):
    """Requests granted by a peer, which may be 0, and the peers to ask next."""

    spend_request_id: str
    requests: int
    peers: tuple[str, ...]
