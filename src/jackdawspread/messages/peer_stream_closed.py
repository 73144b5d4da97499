"""Event: a stream to a peer ended."""

from typing import NamedTuple


class PeerStreamClosed(NamedTuple):
    """End of the stream with this number, and the reason."""

    stream: int
    reason: str
