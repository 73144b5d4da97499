"""Event: time has passed."""

from typing import NamedTuple


class PromotionTick(NamedTuple):
    """Sent at intervals; ``jitter`` is a random number from 0 to 1."""

    jitter: float
