"""Event: a deadline of a workspace's rate has come."""

from typing import NamedTuple


class RateTimerFired(NamedTuple):
    """A request has waited long enough, or a token is due; `peers` can be asked."""

    peers: tuple[str, ...]
