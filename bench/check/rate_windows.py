"""Windows in which more was admitted than a rate and a burst allow."""

from bisect import insort
from collections.abc import Iterable


def largest_excess(
    intervals: Iterable[tuple[float, float]], rate: float, burst: int
) -> float:
    """Return by how much any window exceeds ``burst + rate * length``.

    Parameters
    ----------
    intervals : iterable of tuple of float
        For each admitted request, when it was sent and when it was answered. It
        was admitted between the two, so a window counts only the requests that
        lie in it as a whole, and a positive result is never a false alarm.
    rate : float
        Requests per second.
    burst : int
        Requests at once.
    """
    worst = -float(burst)
    ends: list[float] = []
    for start, end in sorted(intervals, reverse=True):
        insort(ends, end)
        for count, last in enumerate(ends, 1):
            worst = max(worst, count - burst - rate * (last - start))
    return worst
