"""Liveness check of the stream to a pool host."""

from typing import NamedTuple


class LinkProbe(NamedTuple):
    """Asks the other end for a reply; ``is_reply`` marks that reply."""

    is_reply: bool
