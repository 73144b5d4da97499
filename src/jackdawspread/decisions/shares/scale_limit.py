"""Part of a workspace's limit that a fraction gives."""

from jackdawspread.decisions.rates.rate_share import RateShare
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit


def scale_limit(limit: WorkspaceLimit, fraction: float) -> RateShare:
    """Return the rate and the burst of one instance.

    A burst below one operation would never admit any.
    """
    if fraction <= 0:
        return RateShare(0.0, 0)
    return RateShare(limit.rate_per_s * fraction, max(1, round(limit.burst * fraction)))
