"""Event: a batch of frames arrived on a stream to a peer."""

from typing import NamedTuple


class PeerBatchReceived(NamedTuple):
    """Encoded batch of frames that arrived on the stream with this number."""

    stream: int
    data: bytes
