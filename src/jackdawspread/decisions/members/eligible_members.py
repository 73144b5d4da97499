"""Members that may serve a request, and the conditions for it."""

from collections.abc import Iterator, Mapping

from jackdawspread.decisions.evacuations.evacuated_members import is_evacuated
from jackdawspread.decisions.members.group_state import GroupState
from jackdawspread.decisions.members.group_updates import (
    REFUSED_CLAIM_IGNORE_S,
    recent_lag_count,
)
from jackdawspread.decisions.members.lease_conditions import LeaseConditions
from jackdawspread.decisions.members.member_candidate import MemberCandidate
from jackdawspread.decisions.members.pool_load import PoolLoad
from jackdawspread.decisions.members.position_samples import (
    newest_position,
    oldest_sample_since,
)
from jackdawspread.decisions.members.routing_refusal import is_region_allowed
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.member_requirement import MemberRequirement

# Fraction of the allowed age that is reserved for the network and the member's queue.
STALENESS_RESERVE = 0.2
# A member that failed gets no reads during this time.
FAILURE_AVOIDANCE_S = 0.5
# Replicas that recently lacked a required position this often are skipped.
MAX_RECENT_LAGS = 2
# A primary that failed this often since it last answered as the primary is no longer
# preferred.
MAX_PRIMARY_FAILURES = 2
# Fraction of the drain time during which a leaving primary still gets new work.
LEAVING_PRIMARY_DRAIN_FRACTION = 0.75


def usable_primary(state: GroupState, now: float, drain_s: float) -> str:
    """Return the member that gets new work as the primary, empty if there is none.

    While the primary is unreachable the other members are tried in turn: one of them
    may have been promoted, and a member refuses the work unless it is the primary.
    An instance that can't reach the store finds the new primary in this way.
    """
    leaving_at = state.leaving_at_by_member.get(state.primary)
    has_drained = (
        leaving_at is not None
        and now - leaving_at > LEAVING_PRIMARY_DRAIN_FRACTION * drain_s
    )
    domains = state.work_until_by_domain
    listing_of_primary = state.listing_by_id.get(state.primary)
    if listing_of_primary is not None:
        has_drained = has_drained or is_evacuated(listing_of_primary, domains, now)
    if (
        state.primary
        and not has_drained
        and state.primary_health.failure_count < MAX_PRIMARY_FAILURES
    ):
        return state.primary
    eligible = [
        listing
        for listing in state.listing_by_id.values()
        if not listing.leaving
        and listing.failure_domain not in domains
        and _has_not_failed_recently(state, listing.id, now)
    ]
    if not eligible:
        return "" if has_drained else state.primary
    return min(
        eligible, key=lambda listing: (not listing.claims_primary, listing.id)
    ).id


def _has_not_failed_recently(state: GroupState, member: str, now: float) -> bool:
    """Whether a member has recently neither refused primary work nor failed."""
    refused_at = state.leadership_refused_at_by_member.get(
        member, -REFUSED_CLAIM_IGNORE_S
    )
    failed_at = state.failed_at_by_member.get(member, -FAILURE_AVOIDANCE_S)
    return (
        now - refused_at >= REFUSED_CLAIM_IGNORE_S
        and now - failed_at >= FAILURE_AVOIDANCE_S
    )


def read_candidates(
    state: GroupState,
    request: ConnectionRequest,
    load_by_member: Mapping[str, PoolLoad],
    failure_domain: str,
    now: float,
    now_since_boot: float,
    region_by_domain: Mapping[str, str],
) -> Iterator[MemberCandidate]:
    """Yield the members that may answer a read of bounded age.

    ``now`` is a monotonic time. ``now_since_boot`` is a boot-time clock, which also
    counts time in suspension, because data grows older meanwhile. Both are in
    seconds.
    """
    for id, listing in state.listing_by_id.items():
        load = load_by_member.get(id)
        lags = recent_lag_count(state, id, now)
        failed_at = state.failed_at_by_member.get(id, -FAILURE_AVOIDANCE_S)
        if load is None or listing.leaving or id in request.excluded:
            continue
        if listing.failure_domain in state.work_until_by_domain:
            continue
        if not is_region_allowed(request, listing.failure_domain, region_by_domain):
            continue
        if now - failed_at < FAILURE_AVOIDANCE_S:
            continue
        lagging = id != state.primary and lags >= MAX_RECENT_LAGS
        if lagging or lease_conditions(state, request, id, now_since_boot) is None:
            continue
        yield MemberCandidate(
            id=id,
            in_use=len(load.leased_by_id) + len(load.waiting),
            slots=listing.slots,
            has_idle=load.has_idle(request.workspace),
            can_open=load.can_serve(request.workspace, now),
            is_same_domain=listing.failure_domain == failure_domain,
            is_primary=id == state.primary,
            lag_refusals=lags,
        )


def lease_conditions(
    state: GroupState, request: ConnectionRequest, member: str, now_since_boot: float
) -> LeaseConditions | None:
    """Return the conditions under which a member may serve, None if it may not.

    ``now_since_boot`` is in seconds of the boot-time clock.
    """
    if request.requirement is not MemberRequirement.FRESH or member == state.primary:
        return LeaseConditions(requires_primary=True)
    earliest = now_since_boot - (1 - STALENESS_RESERVE) * request.max_staleness_s
    sample = oldest_sample_since(state.samples, earliest)
    if sample is None:
        return None
    required_position = newest_position(sample.position, request.session_position)
    return LeaseConditions(False, required_position, now_since_boot - sample.at)
