"""Event: a batch arrived on a stream to a peer."""

from typing import NamedTuple


class PeerBatchReceived(NamedTuple):
    """A batch of bytes arrived from the peer."""

    stream: int
    data: bytes
