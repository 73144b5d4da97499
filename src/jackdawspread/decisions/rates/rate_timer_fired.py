"""Event: the timer of a workspace's rate limiter has fired."""

from typing import NamedTuple


class RateTimerFired(NamedTuple):
    """A request has expired, a token is available, or peers can be asked again.

    ``peers`` are the peers to which a spend request can be sent.
    """

    peers: tuple[str, ...]
