"""Token buckets of the workspaces' rates at this instance."""

from jackdawspread.decisions.members.cold_members import cold_limit
from jackdawspread.decisions.rate_leases.scale_limit import scale_limit
from jackdawspread.decisions.rate_leases.token_priority import (
    TokenTurns,
    count_turn,
    may_take_token,
    reserved_tokens,
)
from jackdawspread.decisions.rates.rate_bucket import RateBucket, refill, spend
from jackdawspread.decisions.rates.rate_share import RateShare
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.messages.fleet.rate_leases_held import RateLeasesHeld
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit
from jackdawspread.tasks.boot_clock import seconds_since_boot

# Assumed startup time of the process. A new bucket holds the tokens earned in this time
# instead of the burst, which an earlier holder of the lease may have spent.
STARTUP_S = 1.0


class RateBuckets:
    """Spends and adds tokens of the leased rates; belongs to the admission task."""

    def __init__(self) -> None:
        self._held: RateLeasesHeld | None = None
        self.limit_by_workspace: dict[str, WorkspaceLimit] = {}
        # Groups whose cold members have a bucket each.
        self.group_by_name: dict[str, MemberGroup] = {}
        self._bucket_by_workspace: dict[str, RateBucket] = {}
        self._turns_by_workspace: dict[str, TokenTurns] = {}

    @property
    def is_known(self) -> bool:
        """Whether the holders of the leases are known."""
        return self._held is not None

    def set_held(self, held: RateLeasesHeld) -> None:
        """Use other leases; buckets that had none start anew."""
        if not self.leases:
            self._bucket_by_workspace.clear()
        self._held = held

    @property
    def leases(self) -> int:
        """Number of rate leases that this instance may use now."""
        if self._held is None or seconds_since_boot() > self._held.held_until:
            return 0
        return self._held.leases

    def spend(self, workspace: str, now: float, priority: int = 0) -> bool:
        """Spend one token; return whether there was one for the priority."""
        if not self._is_leased(workspace):
            return False
        bucket = self._refilled(workspace, now)
        if priority and bucket.tokens >= 1:
            turns = self._turns_by_workspace.get(workspace, TokenTurns())
            share = self._share(workspace)
            admitted = may_take_token(turns, share, bucket.tokens, priority)
            turns = count_turn(turns, priority, admitted)
            self._turns_by_workspace[workspace] = turns
            if not admitted:
                return False
        bucket, taken = spend(bucket, 1)
        self._bucket_by_workspace[workspace] = bucket
        return bool(taken)

    def add(self, workspace: str, now: float) -> None:
        """Return one token, up to the burst of this instance's leases."""
        if self._is_leased(workspace):
            bucket = self._refilled(workspace, now)
            full = self._share(workspace).burst
            self._bucket_by_workspace[workspace] = bucket._replace(
                tokens=min(full, bucket.tokens + 1)
            )

    def wait_s(self, workspace: str, now: float, priority: int = 0) -> float:
        """Return the time in seconds until a token for the priority is here."""
        if not self._is_leased(workspace):
            return STARTUP_S
        share = self._share(workspace)
        if not share.rate:
            return STARTUP_S
        needed = 1 + reserved_tokens(share, priority)
        return max(0.0, needed - self._refilled(workspace, now).tokens) / share.rate

    def _share(self, workspace: str) -> RateShare:
        limit = self._limit(workspace)
        assert limit is not None
        return scale_limit(limit, self.leases)

    def _is_leased(self, workspace: str) -> bool:
        return bool(self.leases) and self._limit(workspace) is not None

    def _limit(self, workspace: str) -> WorkspaceLimit | None:
        limit = self.limit_by_workspace.get(workspace)
        return limit or cold_limit(workspace, self.group_by_name)

    def _refilled(self, workspace: str, now: float) -> RateBucket:
        share = self._share(workspace)
        bucket = self._bucket_by_workspace.get(workspace)
        if bucket is None:
            return RateBucket(min(share.burst, STARTUP_S * share.rate), now)
        return refill(bucket, share, now)
