"""Event: timer of the promotion state machine."""

from typing import NamedTuple


class PromotionTick(NamedTuple):
    """Timer event, sent at intervals; ``jitter`` is a random number from 0 to 1."""

    jitter: float
