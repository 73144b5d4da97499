"""Steps for the decisions about members and failover."""

from behave import given, then, when
from behave.runner import Context

from jackdawspread.decisions.failover.promotion_candidate import most_advanced_log
from jackdawspread.decisions.failover.promotion_lock import (
    FREE_PROMOTION_LOCK,
    acquire_promotion_lock,
)
from jackdawspread.decisions.members.connection_limits import connection_limits
from jackdawspread.decisions.members.eligible_members import (
    lease_conditions,
    usable_primary,
)
from jackdawspread.decisions.members.group_state import GroupState
from jackdawspread.decisions.members.group_updates import (
    apply_member_list,
    apply_observation,
)
from jackdawspread.decisions.members.listing_retention import retain_members
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.leadership_refused import LeadershipRefused
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.fleet.store_epoch import StoreEpoch
from jackdawspread.messages.position import Position

NOW = 100.0


@given("a member that accepts {most:d} connections and {instances:d} instances")
def member_accepts(context: Context, most: int, instances: int) -> None:
    """Divide the connections."""
    context.limits = connection_limits(most, instances)
    context.free = most // instances - context.limits.idle


@then("each may open {open:d} and keep {idle:d} idle, and {free:d} stay free for it")
def may_open(context: Context, open: int, idle: int, free: int) -> None:
    """Compare the limits and what is left."""
    assert context.limits == (open, idle), context.limits
    assert context.free == free, context.free


@given("the primary reported the position 3.7 {age:f} s ago")
def reported(context: Context, age: float) -> None:
    """Apply one position to the state of the group."""
    seen = PositionSeen("g", "m0", Position(3, 7), NOW - age, confirms_write=False)
    context.state = apply_observation(seen, GroupState())


@when("a read that may be 2 s old and must see 3.{own:d} is sent to a replica")
def read_sent_to_replica(context: Context, own: int) -> None:
    """Determine the conditions of the lease at a replica."""
    request = ConnectionRequest(
        "g",
        "w",
        MemberRequirement.FRESH,
        "",
        2.0,
        Position(3, own) if own else None,
        frozenset(),
        1,
        NOW + 1,
        True,
        None,
    )
    context.conditions = lease_conditions(context.state, request, "m1", NOW)


@then('the replica must have the position "{position}"')
def must_have(context: Context, position: str) -> None:
    """Compare the position, none if no replica may serve."""
    if position == "none":
        assert context.conditions is None, context.conditions
        return
    assert "{}.{}".format(*context.conditions.required_position) == position, (
        context.conditions
    )


def _listing(id: str, claims_primary: bool = False) -> MemberListing:
    return MemberListing(id, "g", f"10.0.0.1:{id[1:]}1", "z1", 2, False, claims_primary)


@given("a group whose primary m0 failed {failures:d} times in a row")
def failing_primary(context: Context, failures: int) -> None:
    """Let the primary fail."""
    listings = {id: _listing(id, id == "m0") for id in ("m0", "m1", "m2")}
    state = apply_member_list(GroupState(), listings, NOW - 9)
    for _ in range(failures):
        state = apply_observation(
            MemberUnreachable("g", "m0", NOW - 0.1, False, "reset"), state
        )
    context.state = state


@given('these members have just answered that they are not the primary: "{members}"')
@given('these members have just answered that they are not the primary: ""')
def refused(context: Context, members: str = "") -> None:
    """Let members answer that they are not the primary."""
    for id in filter(None, members.split(",")):
        context.state = apply_observation(
            LeadershipRefused("g", id, NOW - 0.1), context.state
        )


@then('the next write goes to "{member}"')
def goes_to(context: Context, member: str) -> None:
    """Compare the member that is tried."""
    assert usable_primary(context.state, NOW, 7.0) == member


@when('the list says that these claim to be the primary: "{claims}"')
def list_says(context: Context, claims: str) -> None:
    """Apply a list in which these members claim to be the primary."""
    listings = {id: _listing(id, id in claims) for id in ("m0", "m1", "m2")}
    context.state = apply_member_list(context.state, listings, NOW)


def _with_leaving(leaving: bool) -> dict[str, MemberListing]:
    listings = {id: _listing(id, id == "m0") for id in ("m0", "m1", "m2")}
    listings["m0"] = listings["m0"]._replace(leaving=leaving)
    return listings


@given("a group whose primary m0 was first listed as {first}")
def first_listed(context: Context, first: str) -> None:
    """Apply the first list of a process, or none at all."""
    context.state = GroupState()
    if first != "nothing":
        listings = _with_leaving(first == "leaving")
        context.state = apply_member_list(context.state, listings, NOW - 1)


@when("the next list says that m0 is leaving")
def next_list_says_leaving(context: Context) -> None:
    """Apply a list in which the primary is leaving."""
    context.state = apply_member_list(context.state, _with_leaving(True), NOW)


@then("m{number:d} is treated as the primary")
def treated_as_primary(context: Context, number: int) -> None:
    """Compare the primary in the tracked state."""
    assert context.state.primary == f"m{number}", context.state.primary


@given("the list named m0 and m1 before an outage of the store")
def named(context: Context) -> None:
    """Set two known members."""
    context.known = {id: _listing(id) for id in ("m0", "m1")}


@when("it names only m0 {seconds:d} s after the outage")
def names_one(context: Context, seconds: int) -> None:
    """Apply the list that was read after the outage."""
    listed = {"m0": _listing("m0")}
    context.members = retain_members(context.known, listed, NOW, NOW + seconds)


@then('the members are "{members}"')
def members_are(context: Context, members: str) -> None:
    """Compare the ids."""
    assert ",".join(sorted(context.members)) == members


@given("the promotion lock of a group is free")
def free_lock(context: Context) -> None:
    """Start with no record."""
    context.record = FREE_PROMOTION_LOCK


@when("two instances acquire it at the same time, and again 4 s later")
def acquire_twice(context: Context) -> None:
    """Let the second instance of a pair read the record that the first one wrote."""
    context.tokens = []
    for now in (NOW, NOW + 4):
        for name in ("i1", "i2"):
            record = acquire_promotion_lock(
                context.record, name, now, StoreEpoch(0, 0.0)
            )
            if record is not None:
                context.record = record
                context.tokens.append(record["token"])


@then("one of them held it each time, with tokens that increase")
def one_each(context: Context) -> None:
    """Check that four attempts gave two tokens."""
    assert context.tokens == [1, 2], context.tokens


@given('replicas that have received "{received}" of which "{leaving}" leave')
def received(context: Context, received: str, leaving: str) -> None:
    """Choose the most advanced of the logs."""
    statuses = []
    for pair in received.split(","):
        member, _, position = pair.partition("=")
        term, _, number = position.partition(".")
        end = Position(int(term), int(number))
        statuses.append(LogStatus(member, False, int(term), end))
    context.chosen = most_advanced_log(statuses, leaving.split(","))


@then('the member to promote is "{member}"')
def member_to_promote(context: Context, member: str) -> None:
    """Compare the choice."""
    chosen = context.chosen.member if context.chosen is not None else "none"
    assert chosen == member, chosen
