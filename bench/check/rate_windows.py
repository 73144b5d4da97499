"""Check of the rate limit over windows."""

from bisect import bisect_left
from collections.abc import Sequence

WINDOWS_S = (0.1, 0.5, 1.0, 2.0, 5.0, 10.0)


def greatest_excess(
    spans: Sequence[tuple[float, float]], rate: float, burst: int
) -> float:
    """Return by how many requests the fullest window exceeds its limit.

    Parameters
    ----------
    spans : sequence of (float, float)
        Start and end of each admitted request; the admission lies in between, so
        only a request that lies within a window as a whole counts for it.
    rate, burst : float, int
        Limit: a window of ``w`` seconds may hold ``burst + rate * w`` requests.

    Returns
    -------
    float
        Negative while every window is below the limit.
    """
    ordered = sorted(spans)
    starts = [start for start, _ in ordered]
    worst = float("-inf")
    for window in WINDOWS_S:
        for first, start in enumerate(starts):
            last = bisect_left(starts, start + window)
            ends = (end for _, end in ordered[first:last])
            held = sum(end <= start + window for end in ends)
            worst = max(worst, held - burst - rate * window)
    return worst
