"""First message on a stream between instances."""

from typing import NamedTuple


class PeerHello(NamedTuple):
    """Peer address of the instance that opened the stream."""

    peer_address: str
