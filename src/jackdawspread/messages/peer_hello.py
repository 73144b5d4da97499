"""First message on a stream between instances."""

from typing import NamedTuple


class PeerHello(NamedTuple):
    """Names the peer address of the instance that opened the stream."""

    peer_address: str
