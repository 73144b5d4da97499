"""Rate limit over a sliding second."""

from collections import deque
from typing import NamedTuple

WINDOW_S = 1.0


class RateWindow(NamedTuple):
    """Times of the calls admitted in the last second, and their greatest number."""

    limit: int
    admitted: deque[float]


def admit(window: RateWindow, now: float) -> bool:
    """Count a call unless the second before it is full."""
    while window.admitted and window.admitted[0] <= now - WINDOW_S:
        window.admitted.popleft()
    if len(window.admitted) >= window.limit:
        return False
    window.admitted.append(now)
    return True
