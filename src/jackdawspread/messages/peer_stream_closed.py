"""Event: a stream to a peer ended."""

from typing import NamedTuple


class PeerStreamClosed(NamedTuple):
    """The stream ended; ``reason`` says why."""

    stream: int
    reason: str
