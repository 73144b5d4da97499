"""Updates of the beliefs about a group."""

from functools import singledispatch

from jackdawspread.decisions.members.group_view import GroupView
from jackdawspread.decisions.members.position_evidence import add_sample
from jackdawspread.decisions.succession.suspicion import (
    note_failure,
    note_proof,
    note_write,
)
from jackdawspread.messages.fleet.leadership_refused import LeadershipRefused
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.fleet.replica_lagged import ReplicaLagged
from jackdawspread.messages.fleet.suspicion_cleared import SuspicionCleared

# The list may still name a primary that has just refused; after this time the
# claim is tried again.
CLAIM_DISTRUST_S = 0.4
LAG_MEMORY_S = 1.0


@singledispatch
def observe(event: object, view: GroupView) -> GroupView:
    """Return the view after an observation about one member."""
    raise TypeError(f"no observation of type {type(event).__name__}")


@observe.register
def _(event: PositionSeen, view: GroupView) -> GroupView:
    refused = {**view.refused_at_by_member}
    refused.pop(event.member, None)
    suspicion = note_proof(view.suspicion)
    if event.by_write:
        suspicion = note_write(suspicion)
    return view._replace(
        primary=event.member,
        refused_at_by_member=refused,
        samples=add_sample(view.samples, event.position, event.sent_at),
        suspicion=suspicion,
        leaderless_since=0.0,
    )


@observe.register
def _(event: LeadershipRefused, view: GroupView) -> GroupView:
    refused = {**view.refused_at_by_member, event.member: event.at}
    view = view._replace(refused_at_by_member=refused)
    if view.primary != event.member:
        return view
    return view._replace(primary="", leaderless_since=event.at)


@observe.register
def _(event: ReplicaLagged, view: GroupView) -> GroupView:
    times = view.lagged_at_by_member.get(event.member, ())
    recent = tuple(at for at in times if at > event.at - LAG_MEMORY_S)
    lagged = {**view.lagged_at_by_member, event.member: (*recent, event.at)}
    return view._replace(lagged_at_by_member=lagged)


@observe.register
def _(event: MemberUnreachable, view: GroupView) -> GroupView:
    if not event.stalled_write:
        failed = {**view.failed_at_by_member, event.member: event.at}
        view = view._replace(failed_at_by_member=failed)
    if event.member != view.primary:
        return view
    suspicion = note_failure(view.suspicion, event.at, event.stalled_write)
    return view._replace(suspicion=suspicion)


@observe.register
def _(event: SuspicionCleared, view: GroupView) -> GroupView:
    if event.member != view.primary:
        return view
    return view._replace(suspicion=note_proof(view.suspicion))


def adopt_listing(
    view: GroupView, listing_by_id: dict[str, MemberListing], now: float
) -> GroupView:
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
    since = 0.0 if primary else (view.leaderless_since or now)
    changed = primary != view.primary
    leaving = {
        id: view.leaving_at_by_member.get(id, now)
        for id, listing in listing_by_id.items()
        if listing.leaving
    }
    suspicion = GroupView().suspicion if changed else view.suspicion
    return view._replace(
        listing_by_id=listing_by_id,
        primary=primary,
        leaderless_since=since,
        leaving_at_by_member=leaving,
        suspicion=suspicion,
    )


def _may_trust(view: GroupView, member: str, now: float) -> bool:
    refused_at = view.refused_at_by_member.get(member)
    return refused_at is None or now - refused_at > CLAIM_DISTRUST_S


def recent_lags(view: GroupView, member: str, now: float) -> int:
    """Return how often a replica has lately lacked a position."""
    times = view.lagged_at_by_member.get(member, ())
    return sum(1 for at in times if at > now - LAG_MEMORY_S)
