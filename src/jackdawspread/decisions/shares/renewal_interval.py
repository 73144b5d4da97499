"""Pause between two renewals of an instance's shares."""

from collections.abc import Mapping

RENEWAL_INTERVAL_S = 2.5
# Pause after a failed renewal.
FAILED_RENEWAL_INTERVAL_S = 1.0
# Least pause while an operation lacks a token here.
MIN_RENEWAL_INTERVAL_S = 0.7
# Part of a rate by which a share must grow for a soon renewal to have been of use.
WORTHWHILE_GAIN = 0.02


def starved_renewal_interval(
    pause_s: float, before: Mapping[str, float], after: Mapping[str, float]
) -> float:
    """Return the pause before the next renewal while operations lack tokens.

    A workspace that sends more than its whole rate lacks tokens at every instance
    for as long as it does so, and no renewal helps; the pause then grows up to the
    ordinary one.

    Parameters
    ----------
    pause_s : float
        The pause before the last renewal, in seconds.
    before, after : mapping
        Fractions held by workspace before and after it.
    """
    gains = (after[name] - before.get(name, 0.0) for name in after)
    if max(gains, default=0.0) >= WORTHWHILE_GAIN:
        return MIN_RENEWAL_INTERVAL_S
    return min(RENEWAL_INTERVAL_S, 2 * pause_s)
