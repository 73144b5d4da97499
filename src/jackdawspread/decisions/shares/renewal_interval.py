"""Interval between two renewals of an instance's shares."""

from collections.abc import Mapping

RENEWAL_INTERVAL_S = 2.5
# Delay after a failed renewal.
FAILED_RENEWAL_DELAY_S = 1.0
# Shortest interval, used while operations lack tokens at this instance.
MIN_RENEWAL_INTERVAL_S = 0.7
# A renewal that raised a share by at least this fraction of the rate justifies another
# one after the shortest interval.
WORTHWHILE_GAIN = 0.02


def shortage_renewal_interval(
    interval_s: float, before: Mapping[str, float], after: Mapping[str, float]
) -> float:
    """Return the interval before the next renewal while operations lack tokens.

    A workspace that sends more than its total rate lacks tokens at every instance,
    and no renewal changes that. The interval therefore doubles up to the ordinary one
    while renewals raise no share.

    Parameters
    ----------
    interval_s : float
        Interval before the last renewal, in seconds.
    before, after : mapping
        Shares by workspace before and after the last renewal.
    """
    gains = (after[name] - before.get(name, 0.0) for name in after)
    if max(gains, default=0.0) >= WORTHWHILE_GAIN:
        return MIN_RENEWAL_INTERVAL_S
    return min(RENEWAL_INTERVAL_S, 2 * interval_s)
