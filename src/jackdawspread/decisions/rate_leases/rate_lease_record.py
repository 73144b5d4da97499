"""Record of all leases of the workspaces' rates, by the number of the part."""

from jackdawspread.decisions.rate_leases.rate_lease import RateLease

RateLeaseRecord = dict[str, RateLease]
