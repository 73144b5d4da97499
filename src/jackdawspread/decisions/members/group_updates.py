"""Updates of the tracked state of a member group."""

from functools import singledispatch
from math import inf

from jackdawspread.decisions.failover.primary_health import (
    clear_failures,
    clear_stalled_writes,
    record_failure,
)
from jackdawspread.decisions.members.cold_members import update_cold_until
from jackdawspread.decisions.members.group_state import GroupState
from jackdawspread.decisions.members.position_samples import add_sample
from jackdawspread.messages.fleet.leadership_refused import LeadershipRefused
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.fleet.primary_responded import PrimaryResponded
from jackdawspread.messages.fleet.replica_lagged import ReplicaLagged

# The list may still name a member as the primary that has just answered that it is
# not. Its claim is ignored for this time.
REFUSED_CLAIM_IGNORE_S = 0.4
# Lag reports of replicas are counted over this time.
LAG_WINDOW_S = 1.0


@singledispatch
def apply_observation(event: object, state: GroupState) -> GroupState:
    """Return the state after an observation of one member."""
    raise TypeError(f"no observation of type {type(event).__name__}")


@apply_observation.register
def _(event: PositionSeen, state: GroupState) -> GroupState:
    refused = {**state.leadership_refused_at_by_member}
    refused.pop(event.member, None)
    primary_health = clear_failures(state.primary_health)
    if event.confirms_write:
        primary_health = clear_stalled_writes(primary_health)
    return state._replace(
        primary=event.member,
        leadership_refused_at_by_member=refused,
        samples=add_sample(state.samples, event.position, event.sent_at),
        primary_health=primary_health,
        no_primary_since=0.0,
    )


@apply_observation.register
def _(event: LeadershipRefused, state: GroupState) -> GroupState:
    refused = {**state.leadership_refused_at_by_member, event.member: event.at}
    state = state._replace(leadership_refused_at_by_member=refused)
    if state.primary != event.member:
        return state
    return state._replace(primary="", no_primary_since=event.at)


@apply_observation.register
def _(event: ReplicaLagged, state: GroupState) -> GroupState:
    times = state.lagged_at_by_member.get(event.member, ())
    recent = tuple(at for at in times if at > event.at - LAG_WINDOW_S)
    lagged = {**state.lagged_at_by_member, event.member: (*recent, event.at)}
    return state._replace(lagged_at_by_member=lagged)


@apply_observation.register
def _(event: MemberUnreachable, state: GroupState) -> GroupState:
    if not event.write_timed_out:
        failed = {**state.failed_at_by_member, event.member: event.at}
        state = state._replace(failed_at_by_member=failed)
    if event.member != state.primary:
        return state
    primary_health = record_failure(
        state.primary_health, event.at, event.write_timed_out
    )
    return state._replace(primary_health=primary_health)


@apply_observation.register
def _(event: PrimaryResponded, state: GroupState) -> GroupState:
    if event.member != state.primary:
        return state
    return state._replace(primary_health=clear_failures(state.primary_health))


def apply_member_list(
    state: GroupState,
    listing_by_id: dict[str, MemberListing],
    now: float,
    arrived_at: float = -inf,
) -> GroupState:
    """Return the state after the list of the group's members was read.

    ``now`` is the monotonic time at which it was read at the earliest. An entry may
    have been written later, so cold times count from ``arrived_at`` if that is later.

    The current primary stays the primary while it is in the list. It is replaced if
    another member claims to be the primary and the current one either makes no such
    claim or has failed since its last answer.
    """
    claims = [
        listing.id
        for listing in listing_by_id.values()
        if listing.claims_primary and _is_claim_accepted(state, listing.id, now)
    ]
    primary = state.primary if state.primary in listing_by_id else ""
    others = sorted(id for id in claims if id != primary)
    if others and (primary not in claims or state.primary_health.failure_count > 0):
        primary = others[0]
    since = 0.0 if primary else (state.no_primary_since or now)
    changed = primary != state.primary
    primary_health = GroupState().primary_health if changed else state.primary_health
    return state._replace(
        listing_by_id=listing_by_id,
        listed_at=now,
        primary=primary,
        no_primary_since=since,
        leaving_at_by_member=_leaving_at(state, listing_by_id, now),
        cold_until_by_member=update_cold_until(
            state.cold_until_by_member,
            state.listing_by_id,
            listing_by_id,
            max(now, arrived_at),
        ),
        primary_health=primary_health,
    )


def _leaving_at(
    state: GroupState, listing_by_id: dict[str, MemberListing], now: float
) -> dict[str, float]:
    """Return the monotonic times at which the leaving members began to leave.

    A member that is leaving in the first list that names it may have begun at any time
    before.
    """
    return {
        id: state.leaving_at_by_member.get(
            id, now if id in state.listing_by_id else -inf
        )
        for id, listing in listing_by_id.items()
        if listing.leaving
    }


def _is_claim_accepted(state: GroupState, member: str, now: float) -> bool:
    refused_at = state.leadership_refused_at_by_member.get(member)
    return refused_at is None or now - refused_at > REFUSED_CLAIM_IGNORE_S


def recent_lag_count(state: GroupState, member: str, now: float) -> int:
    """Return how often a replica has recently lacked a required position."""
    times = state.lagged_at_by_member.get(member, ())
    return sum(1 for at in times if at > now - LAG_WINDOW_S)
