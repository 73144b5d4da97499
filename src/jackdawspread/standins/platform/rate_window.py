"""Rate limit over a sliding window of one second."""

from collections import deque
from typing import NamedTuple

WINDOW_S = 1.0


class RateWindow(NamedTuple):
    """Greatest number of calls in a second, and the times of the last calls."""

    limit: int
    admitted_at: deque[float]


def admit(window: RateWindow, now: float) -> bool:
    """Count a call and return True, unless the limit of the last second is reached."""
    while window.admitted_at and window.admitted_at[0] <= now - WINDOW_S:
        window.admitted_at.popleft()
    if len(window.admitted_at) >= window.limit:
        return False
    window.admitted_at.append(now)
    return True
