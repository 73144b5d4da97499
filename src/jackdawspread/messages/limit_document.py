"""Limits of a workspace as stored in the configuration."""

from typing import TypedDict


class LimitDocument(TypedDict, total=False):
    """Limits of a workspace; the head office's default replaces an absent field.

    ``rate`` is in requests per second, ``burst`` in requests. ``weight`` is the
    workspace's weight in fair queueing.
    """

    rate: float
    burst: int
    weight: float
