"""Steps for the decisions about shares, members and the succession."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from jackdawspread.decisions.failover.promotion_candidate import most_advanced_log
from jackdawspread.decisions.failover.promotion_lock import (
    FREE_PROMOTION_LOCK,
    acquire_promotion_lock,
)
from jackdawspread.decisions.members.connection_limit import connection_limit
from jackdawspread.decisions.members.eligible_members import (
    lease_conditions,
    usable_primary,
)
from jackdawspread.decisions.members.group_state import GroupState
from jackdawspread.decisions.members.group_updates import adopt_listing, observe
from jackdawspread.decisions.members.listing_retention import retain_members
from jackdawspread.decisions.shares.rebalance import SHARE_TTL_S, rebalance
from jackdawspread.decisions.shares.renewal_interval import starved_renewal_interval
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.leadership_refused import LeadershipRefused
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.fleet.shares_held import SharesHeld
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit
from jackdawspread.messages.position import Position
from jackdawspread.tasks.fleet.rate_buckets import RateBuckets

SEED = 4
EXAMPLES = 300
NOW = 100.0


@given("any order of renewals, pauses and deaths of 5 instances")
def any_renewals(context: Context) -> None:
    """Draw renewals with seeded random demand and times."""
    step = st.tuples(st.integers(0, 4), st.floats(0, 1), st.floats(0, 20))

    @seed(SEED)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @for_all(st.lists(step, max_size=30))
    def check(steps: list[tuple[int, float, float]]) -> None:
        book, now, usable = {}, 0.0, {}
        for number, need, pause in steps:
            now += pause
            name = f"i{number}"
            book = rebalance(book, name, "a:1", {"w": need}, now)
            usable[name] = (now + SHARE_TTL_S, book[name]["held"]["w"])
            total = sum(share for until, share in usable.values() if until > now)
            context.worst = max(context.worst, total)

    context.worst = 0.0
    check()


@then("the shares that may be used never add up to more than 1")
def at_most_one(context: Context) -> None:
    """Compare the largest sum that was seen."""
    assert 0 < context.worst <= 1.0, context.worst


@given("2 instances of which each holds half of a rate and needs it")
def two_instances(context: Context) -> None:
    """Let both settle."""
    context.book = {}
    for _ in range(3):
        for name in ("i1", "i2"):
            need = {"w": 0.5}
            context.book = rebalance(context.book, name, "a:1", need, NOW)
    context.now = NOW


@when("the first restarts and renews without any demand yet")
def restarts(context: Context) -> None:
    """Renew once with no need."""
    context.book = rebalance(context.book, "i1", "a:1", {"w": 0.0}, NOW + 1)


@when("the second does not renew for {seconds:d} s and the first renews")
def second_dead(context: Context, seconds: int) -> None:
    """Renew the first one all the while."""
    for second in range(1, seconds + 1):
        now = NOW + second
        context.book = rebalance(context.book, "i1", "a:1", {"w": 0.9}, now)


@then("the first holds the whole rate")
def holds_all(context: Context) -> None:
    """The dead instance's entry is gone."""
    assert context.book["i1"]["held"]["w"] == 1.0, context.book


@given("an instance that holds a whole rate and needs it")
def whole_rate(context: Context) -> None:
    """Let one instance settle."""
    context.book = rebalance({}, "i1", "a:1", {"w": 1.0}, NOW)


@when("another joins with the same need, and stops renewing for {seconds:d} s")
def joins_and_stops(context: Context, seconds: int) -> None:
    """The first goes on renewing with the same need."""
    context.book = rebalance(context.book, "i2", "a:1", {"w": 1.0}, NOW)
    second_dead(context, seconds)


@then("it holds at least {part:f} of the rate")
@then("the first holds at least {part:f} of the rate")
def first_holds(context: Context, part: float) -> None:
    """Look at the first instance's share."""
    assert context.book["i1"]["held"]["w"] >= part, context.book


@given("an instance that waited {pause:f} s for its last renewal")
def waited(context: Context, pause: float) -> None:
    """Remember the pause."""
    context.pause = pause


@when("its share of a rate goes from {before:f} to {after:f}")
def share_goes(context: Context, before: float, after: float) -> None:
    """Renew."""
    context.pause = starved_renewal_interval(context.pause, {"w": before}, {"w": after})


@then("it waits {pause:f} s for the next one while it lacks tokens")
def waits(context: Context, pause: float) -> None:
    """Compare the pause."""
    assert context.pause == pause, context.pause


@given("any order of spending, lending and returning between 3 rate desks")
def any_loans(context: Context) -> None:
    """Draw operations on three desks that share one limit."""
    limit = WorkspaceLimit("w", 9.0, 9.0)
    kind = st.sampled_from(["spend", "lend", "return"])
    step = st.tuples(kind, st.integers(0, 2), st.integers(0, 2), st.floats(0, 0.5))

    @seed(SEED)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @for_all(st.lists(step, max_size=60))
    def check(steps: list[tuple[str, int, int, float]]) -> None:
        desks, now, spent = [], 0.0, []
        for _ in range(3):
            desk = RateBuckets()
            desk.shares = SharesHeld({"w": 1 / 3}, float("inf"))
            desk.limit_by_workspace = {"w": limit}
            desks.append(desk)
        for kind, first, second, pause in steps:
            now += pause
            if kind == "lend":
                lent = desks[first].lend("w", 1, now)
                desks[second].add("w", lent, now)
            elif kind == "return" and spent and spent[-1] == now:
                spent.pop()
                desks[first].add("w", 1, now)
            elif desks[first].spend("w", 1, now):
                spent.append(now)
        for index, start in enumerate(spent):
            for count, end in enumerate(spent[index:], 1):
                assert count <= 9 + 9 * (end - start) + 1e-6

    check()


@then("no window holds more operations than the burst plus the rate over the window")
def no_window(context: Context) -> None:
    """The drawn runs have asserted it."""


@given("a member that takes {most:d} connections and {instances:d} instances")
def member_takes(context: Context, most: int, instances: int) -> None:
    """Divide the connections."""
    context.limit = connection_limit(most, instances)
    context.free = most // instances - context.limit


@then("each may hold {limit:d}, and {free:d} more than that stay free for each")
def may_hold(context: Context, limit: int, free: int) -> None:
    """Compare the limit and what is left."""
    assert (context.limit, context.free) == (limit, free)


@given("the primary showed the position 3.7 {age:f} s ago")
def showed(context: Context, age: float) -> None:
    """Give the view one sample."""
    seen = PositionSeen("g", "m0", Position(3, 7), NOW - age, confirms_write=False)
    context.view = observe(seen, GroupState())


@when("a read that may be 2 s old and must see 3.{own:d} looks for a replica")
def looks(context: Context, own: int) -> None:
    """Ask for the terms at a replica."""
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
        None,
    )
    context.terms = lease_conditions(context.view, request, "m1", NOW)


@then('it must find the position "{position}"')
def must_find(context: Context, position: str) -> None:
    """Compare the position, none if no replica may serve."""
    if position == "none":
        assert context.terms is None, context.terms
        return
    assert "{}.{}".format(*context.terms.required_position) == position, context.terms


def _listing(id: str, leads: bool = False) -> MemberListing:
    return MemberListing(id, "g", f"10.0.0.1:{id[1:]}1", "z1", 2, False, leads)


@given("a group whose primary m0 failed {failures:d} times in a row")
def failing_primary(context: Context, failures: int) -> None:
    """Let a proved primary fail."""
    listings = {id: _listing(id, id == "m0") for id in ("m0", "m1", "m2")}
    view = adopt_listing(GroupState(), listings, NOW - 9)
    for _ in range(failures):
        view = observe(MemberUnreachable("g", "m0", NOW - 0.1, False, "reset"), view)
    context.view = view


@given('these members refused to lead just now: "{members}"')
@given('these members refused to lead just now: ""')
def refused(context: Context, members: str = "") -> None:
    """Let members answer that they do not lead."""
    for id in filter(None, members.split(",")):
        context.view = observe(LeadershipRefused("g", id, NOW - 0.1), context.view)


@then('the next write goes to "{member}"')
def goes_to(context: Context, member: str) -> None:
    """Compare the member that is tried."""
    assert usable_primary(context.view, NOW, 7.0) == member


@when('the list says that these lead: "{claims}"')
def list_says(context: Context, claims: str) -> None:
    """Adopt a list with claims."""
    listings = {id: _listing(id, id in claims) for id in ("m0", "m1", "m2")}
    context.view = adopt_listing(context.view, listings, NOW)


@then("m{number:d} is taken for the primary")
def taken(context: Context, number: int) -> None:
    """Compare the belief."""
    assert context.view.primary == f"m{number}", context.view.primary


@given("the list named m0 and m1 before an outage of the store")
def named(context: Context) -> None:
    """Remember two members."""
    context.known = {id: _listing(id) for id in ("m0", "m1")}


@when("it names only m0 {seconds:d} s after the outage")
def names_one(context: Context, seconds: int) -> None:
    """Read the list after the outage."""
    listed = {"m0": _listing("m0")}
    context.members = retain_members(context.known, listed, NOW, NOW + seconds)


@then('the members are "{members}"')
def members_are(context: Context, members: str) -> None:
    """Compare the ids."""
    assert ",".join(sorted(context.members)) == members


@given("the duty of a group is free")
def free_duty(context: Context) -> None:
    """Start with no record."""
    context.record = FREE_PROMOTION_LOCK


@when("two instances take it at the same time, and again 4 s later")
def take_twice(context: Context) -> None:
    """The second conditional write of a pair finds the first one's record."""
    context.taken = []
    for now in (NOW, NOW + 4):
        for name in ("i1", "i2"):
            record = acquire_promotion_lock(context.record, name, now)
            if record is not None:
                context.record = record
                context.taken.append(record["token"])


@then("one of them had it each time, with tokens that increase")
def one_each(context: Context) -> None:
    """Two tokens for four tries."""
    assert context.taken == [1, 2], context.taken


@given('replicas that have received "{received}" of which "{leaving}" leave')
def received(context: Context, received: str, leaving: str) -> None:
    """Choose among the logs."""
    statuses = []
    for pair in received.split(","):
        member, _, position = pair.partition("=")
        term, _, number = position.partition(".")
        end = Position(int(term), int(number))
        statuses.append(LogStatus(member, False, int(term), end))
    context.chosen = most_advanced_log(statuses, leaving.split(","))


@then('the successor is "{member}"')
def successor(context: Context, member: str) -> None:
    """Compare the choice."""
    chosen = context.chosen.member if context.chosen is not None else "none"
    assert chosen == member, chosen
