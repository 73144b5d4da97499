"""Limits of a workspace as stored in the configuration."""

from typing import TypedDict


class LimitDocument(TypedDict, total=False):
    """Limits; an absent field falls back to the head office's default.

    ``rate`` is in requests per second, ``burst`` in requests; ``weight`` is the
    share of a workspace in fair queueing.
    """

    rate: float
    burst: int
    weight: float
