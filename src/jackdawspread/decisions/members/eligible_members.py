"""Members that may serve a request, and on which terms."""

from collections.abc import Iterator, Mapping

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
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.member_requirement import MemberRequirement

# Part of the allowed age that is left for the way to the member and its queue.
STALENESS_RESERVE = 0.2
# A member that failed is passed over for reads during this time.
FAILURE_AVOIDANCE_S = 0.5
# Replicas that lacked a position this often lately are passed over.
MAX_RECENT_LAGS = 2
# A primary that failed this often since it last proved to lead is not asked first.
MAX_PRIMARY_FAILURES = 2
# Part of the drain time during which a leaving primary is still used.
LEAVING_PRIMARY_DRAIN_FRACTION = 0.75


def usable_primary(view: GroupState, now: float, drain_s: float) -> str:
    """Return the member that may get new work as the primary, empty if none may.

    While the primary can't be reached the other members are tried in turn: one of
    them may have been promoted, and each one refuses unless it leads. An instance
    that is cut off from the store finds the new primary in this way.
    """
    leaving_at = view.leaving_at_by_member.get(view.primary)
    left = (
        leaving_at is not None
        and now - leaving_at > LEAVING_PRIMARY_DRAIN_FRACTION * drain_s
    )
    if view.primary and not left and view.suspicion.failures < MAX_PRIMARY_FAILURES:
        return view.primary
    able = [
        listing
        for listing in view.listing_by_id.values()
        if not listing.leaving and _is_untried(view, listing.id, now)
    ]
    if not able:
        return "" if left else view.primary
    return min(able, key=lambda listing: (not listing.claims_primary, listing.id)).id


def _is_untried(view: GroupState, member: str, now: float) -> bool:
    """Whether a member has neither refused nor failed lately."""
    refused_at = view.leadership_refused_at_by_member.get(
        member, -REFUSED_CLAIM_IGNORE_S
    )
    failed_at = view.failed_at_by_member.get(member, -FAILURE_AVOIDANCE_S)
    return (
        now - refused_at >= REFUSED_CLAIM_IGNORE_S
        and now - failed_at >= FAILURE_AVOIDANCE_S
    )


def read_candidates(
    view: GroupState,
    request: ConnectionRequest,
    load_by_member: Mapping[str, PoolLoad],
    failure_domain: str,
    now: float,
    now_since_boot: float,
) -> Iterator[MemberCandidate]:
    """Yield the members that may answer a read of bounded age.

    ``now`` is monotonic; ``now_since_boot`` also counts suspension, as ages of data do.
    """
    for id, listing in view.listing_by_id.items():
        load = load_by_member.get(id)
        lags = recent_lag_count(view, id, now)
        failed_at = view.failed_at_by_member.get(id, -FAILURE_AVOIDANCE_S)
        if load is None or listing.leaving or id in request.excluded:
            continue
        if now - failed_at < FAILURE_AVOIDANCE_S:
            continue
        lagging = id != view.primary and lags >= MAX_RECENT_LAGS
        if lagging or lease_conditions(view, request, id, now_since_boot) is None:
            continue
        yield MemberCandidate(
            id=id,
            in_use=len(load.leased_by_id) + len(load.waiting),
            slots=listing.slots,
            has_idle=load.has_idle(request.workspace),
            can_open=load.can_serve(request.workspace, now),
            near=listing.failure_domain == failure_domain,
            leads=id == view.primary,
            lag_refusals=lags,
        )


def lease_conditions(
    view: GroupState, request: ConnectionRequest, member: str, now_since_boot: float
) -> LeaseConditions | None:
    """Return the terms on which a member may serve, None if it may not.

    ``now_since_boot`` is in seconds, counting suspension.
    """
    if request.requirement is not MemberRequirement.FRESH or member == view.primary:
        return LeaseConditions(requires_primary=True)
    earliest = now_since_boot - (1 - STALENESS_RESERVE) * request.max_staleness_s
    sample = oldest_sample_since(view.samples, earliest)
    if sample is None:
        return None
    required_position = newest_position(sample.position, request.session_position)
    return LeaseConditions(False, required_position, now_since_boot - sample.at)
