"""Scales a workspace's limit to the share of one instance."""

from jackdawspread.decisions.rates.rate_share import RateShare
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit


def scale_limit(limit: WorkspaceLimit, fraction: float) -> RateShare:
    """Return the rate and the burst of an instance that holds a fraction of a limit.

    The burst is at least 1, because a smaller one would never admit an operation.
    """
    if fraction <= 0:
        return RateShare(0.0, 0)
    return RateShare(limit.rate_per_s * fraction, max(1, round(limit.burst * fraction)))
