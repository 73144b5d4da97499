"""Updates of the beliefs about a group."""

from functools import singledispatch

from jackdawspread.decisions.failover.primary_health import (
    clear_failures,
    clear_stalled_writes,
    record_failure,
)
from jackdawspread.decisions.members.group_state import GroupState
from jackdawspread.decisions.members.position_samples import add_sample
from jackdawspread.messages.fleet.leadership_refused import LeadershipRefused
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.fleet.primary_responded import PrimaryResponded
from jackdawspread.messages.fleet.replica_lagged import ReplicaLagged

# The list may still name a primary that has just refused; after this time the
# claim is tried again.
REFUSED_CLAIM_IGNORE_S = 0.4
LAG_WINDOW_S = 1.0


@singledispatch
def observe(event: object, view: GroupState) -> GroupState:
    """Return the view after an observation about one member."""
    raise TypeError(f"no observation of type {type(event).__name__}")


@observe.register
def _(event: PositionSeen, view: GroupState) -> GroupState:
    refused = {**view.leadership_refused_at_by_member}
    refused.pop(event.member, None)
    suspicion = clear_failures(view.suspicion)
    if event.confirms_write:
        suspicion = clear_stalled_writes(suspicion)
    return view._replace(
        primary=event.member,
        leadership_refused_at_by_member=refused,
        samples=add_sample(view.samples, event.position, event.sent_at),
        suspicion=suspicion,
        no_primary_since=0.0,
    )


@observe.register
def _(event: LeadershipRefused, view: GroupState) -> GroupState:
    refused = {**view.leadership_refused_at_by_member, event.member: event.at}
    view = view._replace(leadership_refused_at_by_member=refused)
    if view.primary != event.member:
        return view
    return view._replace(primary="", no_primary_since=event.at)


@observe.register
def _(event: ReplicaLagged, view: GroupState) -> GroupState:
    times = view.lagged_at_by_member.get(event.member, ())
    recent = tuple(at for at in times if at > event.at - LAG_WINDOW_S)
    lagged = {**view.lagged_at_by_member, event.member: (*recent, event.at)}
    return view._replace(lagged_at_by_member=lagged)


@observe.register
def _(event: MemberUnreachable, view: GroupState) -> GroupState:
    if not event.write_timed_out:
        failed = {**view.failed_at_by_member, event.member: event.at}
        view = view._replace(failed_at_by_member=failed)
    if event.member != view.primary:
        return view
    suspicion = record_failure(view.suspicion, event.at, event.write_timed_out)
    return view._replace(suspicion=suspicion)


@observe.register
def _(event: PrimaryResponded, view: GroupState) -> GroupState:
    if event.member != view.primary:
        return view
    return view._replace(suspicion=clear_failures(view.suspicion))


def adopt_listing(
    view: GroupState, listing_by_id: dict[str, MemberListing], now: float
) -> GroupState:
    """Return the view after the list of the group's members was read.

    A member that proved to lead stays the primary while the list names it, unless
    only others claim the lead, or others do and it could not be reached lately.
    """
    claims = [
        listing.id
        for listing in listing_by_id.values()
        if listing.claims_primary and _may_trust(view, listing.id, now)
    ]
    primary = view.primary if view.primary in listing_by_id else ""
    others = sorted(id for id in claims if id != primary)
    if others and (primary not in claims or view.suspicion.failures > 0):
        primary = others[0]
    since = 0.0 if primary else (view.no_primary_since or now)
    changed = primary != view.primary
    leaving = {
        id: view.leaving_at_by_member.get(id, now)
        for id, listing in listing_by_id.items()
        if listing.leaving
    }
    suspicion = GroupState().suspicion if changed else view.suspicion
    return view._replace(
        listing_by_id=listing_by_id,
        primary=primary,
        no_primary_since=since,
        leaving_at_by_member=leaving,
        suspicion=suspicion,
    )


def _may_trust(view: GroupState, member: str, now: float) -> bool:
    refused_at = view.leadership_refused_at_by_member.get(member)
    return refused_at is None or now - refused_at > REFUSED_CLAIM_IGNORE_S


def recent_lag_count(view: GroupState, member: str, now: float) -> int:
    """Return how often a replica has lately lacked a position."""
    times = view.lagged_at_by_member.get(member, ())
    return sum(1 for at in times if at > now - LAG_WINDOW_S)
