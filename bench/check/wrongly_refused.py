"""Requests refused although within the workspace's rate."""

from collections.abc import Iterable


def count_wrongly_refused(
    calls: Iterable[tuple[float, bool]], rate: float, burst: int
) -> int:
    """Return how many refused requests one central bucket would have admitted.

    The bucket counts every request that it admits, refused or not, so that a
    request is within the rate by what the workspace sent, not by what it got.

    Parameters
    ----------
    calls : iterable of (float, bool)
        Time in seconds, and whether the request was refused.
    rate, burst : float, int
        Limit of the workspace.
    """
    tokens, last, wrong = float(burst), 0.0, 0
    for at, is_refused in sorted(calls):
        tokens = min(float(burst), tokens + rate * (at - last))
        last = at
        if tokens >= 1:
            tokens -= 1
            wrong += is_refused
    return wrong
