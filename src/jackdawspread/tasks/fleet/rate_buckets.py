"""Token buckets of the workspaces' rates at this instance."""

from jackdawspread.decisions.rates.rate_bucket import RateBucket, refill, spend
from jackdawspread.decisions.rates.rate_share import RateShare
from jackdawspread.decisions.shares.demand_meter import (
    DemandMeter,
    count_operation,
    current_rate,
)
from jackdawspread.decisions.shares.scale_limit import scale_limit
from jackdawspread.messages.fleet.shares_held import SharesHeld
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit
from jackdawspread.tasks.boot_clock import seconds_since_boot

# Assumed startup time of the process. A new bucket holds the tokens earned in this time
# instead of the burst, which an earlier process of this instance may have spent.
STARTUP_S = 1.0


class RateBuckets:
    """Spends, lends and adds tokens; belongs to the admission task."""

    def __init__(self) -> None:
        self.shares: SharesHeld | None = None
        self.limit_by_workspace: dict[str, WorkspaceLimit] = {}
        self._bucket_by_workspace: dict[str, RateBucket] = {}
        self._meter_by_workspace: dict[str, DemandMeter] = {}

    def count_demand(self, workspace: str, now: float) -> None:
        """Count a requested operation."""
        meter = self._meter_by_workspace.get(workspace, DemandMeter())
        self._meter_by_workspace[workspace] = count_operation(meter, now)

    def demand(self, now: float) -> dict[str, float]:
        """Return the rate of requested operations per second by workspace."""
        return {
            workspace: current_rate(meter, now)
            for workspace, meter in self._meter_by_workspace.items()
        }

    def fraction(self, workspace: str) -> float:
        """Return the fraction of a workspace's rate that this instance may use now."""
        if self.shares is None or seconds_since_boot() > self.shares.held_until:
            return 0.0
        return self.shares.fraction_by_workspace.get(workspace, 0.0)

    def spend(self, workspace: str, tokens: int, now: float) -> int:
        """Spend at most ``tokens`` whole tokens; return how many were spent."""
        bucket, taken = spend(self._refilled(workspace, now), tokens)
        self._bucket_by_workspace[workspace] = bucket
        return taken

    def lend(self, workspace: str, requested: int, now: float) -> int:
        """Take tokens for a peer, but keep one for the next local operation."""
        if workspace not in self.limit_by_workspace:
            return 0
        tokens = self._refilled(workspace, now).tokens
        return self.spend(workspace, min(requested, max(0, int(tokens) - 1)), now)

    def add(self, workspace: str, tokens: int, now: float) -> None:
        """Add tokens up to the burst of this instance's share."""
        if workspace in self.limit_by_workspace:
            bucket = self._refilled(workspace, now)
            full = float(max(1, self._share(workspace).burst))
            self._bucket_by_workspace[workspace] = bucket._replace(
                tokens=min(full, bucket.tokens + tokens)
            )

    def wait_s(self, workspace: str, now: float) -> float:
        """Return the time in seconds until the next token is available here."""
        share = self._share(workspace)
        if not share.rate:
            return STARTUP_S
        return max(0.0, 1 - self._refilled(workspace, now).tokens) / share.rate

    def _share(self, workspace: str) -> RateShare:
        limit = self.limit_by_workspace[workspace]
        return scale_limit(limit, self.fraction(workspace))

    def _refilled(self, workspace: str, now: float) -> RateBucket:
        share = self._share(workspace)
        bucket = self._bucket_by_workspace.get(workspace)
        if bucket is None:
            return RateBucket(min(share.burst, STARTUP_S * share.rate), now)
        return refill(bucket, share, now)
