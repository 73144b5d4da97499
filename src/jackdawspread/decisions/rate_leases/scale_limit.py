"""Scales a workspace's limit to the rate leases of one instance."""

from jackdawspread.decisions.rate_leases.lease_writes import RATE_LEASES
from jackdawspread.decisions.rates.rate_share import RateShare
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit


def scale_limit(limit: WorkspaceLimit, leases: int) -> RateShare:
    """Return the rate and the burst of an instance that holds some of the leases.

    The burst is at least 1 for each lease, because a smaller one would never admit an
    operation. The bursts of all leases exceed a smaller limit by less than
    ``RATE_LEASES``, whatever the number of instances.
    """
    fraction = leases / RATE_LEASES
    return RateShare(
        limit.rate_per_s * fraction, max(float(leases), limit.burst * fraction)
    )
