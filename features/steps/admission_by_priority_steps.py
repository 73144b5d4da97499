"""Steps for admission by priority."""

from collections import Counter
from random import Random

from behave import given, then, when
from behave.runner import Context
from features.fakes.slotted_member import WORK_S, SlottedMember
from trio import open_memory_channel

from jackdawspread.decisions.members.connection_limits import ConnectionLimits
from jackdawspread.decisions.members.member_concurrency import (
    MemberConcurrency,
    complete_statement,
    reduce_after_loss,
    reduce_after_rejection,
)
from jackdawspread.decisions.members.priority_admission import (
    PriorityAdmission,
    free_room,
    order_waiting,
    refuse_waiting,
)
from jackdawspread.decisions.members.statement_in_progress import StatementInProgress
from jackdawspread.decisions.members.waiting_refusal import DISPLACED
from jackdawspread.decisions.rate_leases.lease_writes import RATE_LEASES
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.fleet.rate_leases_held import RateLeasesHeld
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit
from jackdawspread.tasks.fleet.rate_buckets import RateBuckets

SEED = 11
MEMBER_SLOTS = 6
CAPACITY_PER_S = MEMBER_SLOTS / WORK_S
# Statements take 20 ms, and those that wait may do so for 12 ms.
STATEMENT_S, WAIT_S = 0.02, 0.012
WORKSPACES = [f"w{number}" for number in range(12)]


@given("4 pool hosts that admit by priority, in front of a member with 6 slots")
def pool_hosts(context: Context) -> None:
    """Make four pools with the limits of pool hosts."""
    context.member = SlottedMember(4, MEMBER_SLOTS, ConnectionLimits(12, 7), True)
    context.random = Random(SEED)


def _load(context: Context, share_by_priority: dict[int, float], seconds: int) -> None:
    """Plan loads, given as shares of what the member can run."""
    for priority, share in share_by_priority.items():
        context.member.add_load(
            WORKSPACES, priority, share * CAPACITY_PER_S, seconds, context.random
        )
    context.member.add_sweeps(seconds)
    context.seconds = seconds


@when(
    "statements of the lowest priority arrive at {times:f} times their usual rate "
    "for {seconds:d} s"
)
def burst(context: Context, times: float, seconds: int) -> None:
    """Play a load that is usually 0.75 of the capacity."""
    _load(context, {0: 0.1, 1: 0.3, 2: times * 0.35}, seconds)
    context.member.run(seconds)


@when("one workspace of priority 1 sends {times:d} times its usual rate for {s:d} s")
def busy_workspace(context: Context, times: int, s: int) -> None:
    """Play its load beside that of the others."""
    _load(context, {1: 0.5}, s)
    context.member.add_load(
        ["busy"], 1, times * 0.2 * CAPACITY_PER_S, s, context.random
    )
    context.member.run(s)


@when("statements of priority 0 alone exceed what the member can run for {s:d} s")
def urgent_overload(context: Context, s: int) -> None:
    """Play more urgent statements than the member can run, and a few others."""
    _load(context, {0: 1.5, 2: 0.5}, s)
    context.member.run(s)


@then("under {share:f} of the statements of priority {priority:d} are refused")
def few_refused(context: Context, share: float, priority: int) -> None:
    """Compare the refused statements with all of that priority."""
    counts = context.member.count_by_result
    refused, granted = counts[priority, "refused"], counts[priority, "granted"]
    assert refused < share * (refused + granted), dict(counts)


@then("the member was used for at least {share:f} of the time")
def used(context: Context, share: float) -> None:
    """Compare the answered statements with what the slots can run."""
    capacity = context.seconds * CAPACITY_PER_S
    assert context.member.answered >= share * capacity, context.member.answered


@then("under {share:f} of the statements of the other workspaces are refused")
def others_served(context: Context, share: float) -> None:
    """Only the busy workspace may be refused."""
    refused = sum(
        count
        for workspace, count in context.member.refused_by_workspace.items()
        if workspace != "busy"
    )
    granted = sum(r.workspace != "busy" for _, r, _ in context.member.granted)
    assert refused < share * (refused + granted), (refused, granted)


@then("at least {share:f} of the granted statements have the lowest priority")
def keeps_part(context: Context, share: float) -> None:
    """Compare the granted statements of both priorities."""
    counts = context.member.count_by_result
    low, high = counts[2, "granted"], counts[0, "granted"]
    assert low >= share * (low + high), dict(counts)


def _request(workspace: str, priority: int) -> ConnectionRequest:
    send, _ = open_memory_channel(1)
    return ConnectionRequest(
        "g",
        workspace,
        MemberRequirement.PRIMARY,
        "",
        1.0,
        None,
        frozenset(),
        priority,
        WAIT_S,
        True,
        send,
    )


@given("an admission whose room is used up, at which 2 statements of priority 2 wait")
def full_admission(context: Context) -> None:
    """Each waiting statement is expected to wait 5 ms longer than the one before."""
    running = {id: StatementInProgress(0.0, 1, True) for id in range(4)}
    context.admission = PriorityAdmission(
        MemberConcurrency(4.0), running, duration_s=STATEMENT_S
    )
    context.waiting = [_request(f"w{number}", 2) for number in range(2)]


@when("a statement of priority 0 arrives")
def urgent_arrives(context: Context) -> None:
    """Decide who has to go."""
    context.urgent = _request("urgent", 0)
    context.refusals = refuse_waiting(
        context.admission, context.waiting, context.urgent, {}, 0.0
    )


@then("the last of the waiting ones is refused as displaced")
def displaced(context: Context) -> None:
    """The others still get their turn in time."""
    (refusal,) = context.refusals
    assert refusal.request is context.waiting[-1], refusal
    assert refusal.reason == DISPLACED, refusal


@then("its caller is told to come back later than the expected wait")
def comes_back_later(context: Context) -> None:
    """Less urgent callers leave the room to more urgent ones."""
    (refusal,) = context.refusals
    assert refusal.retry_after_s > refusal.wait_s > WAIT_S, refusal


@then("the statement of priority 0 is the next one")
def urgent_is_next(context: Context) -> None:
    """Order those that still wait."""
    waiting = [*context.waiting, context.urgent]
    ordered = order_waiting(context.admission, waiting, {}, 0.0)
    assert ordered[0] is context.urgent, ordered


@given("an admission with a limit of {limit:d} and {count:d} open transactions")
def transactions(context: Context, limit: int, count: int) -> None:
    """Begin the transactions."""
    running = {id: StatementInProgress(0.0, 1, False) for id in range(count)}
    context.admission = PriorityAdmission(MemberConcurrency(float(limit)), running)


@given(
    "an admission with a limit of {limit:d} and {count:d} statements that began 1 s ago"
)
def lost_answers(context: Context, limit: int, count: int) -> None:
    """Begin the statements."""
    running = {id: StatementInProgress(-1.0, 1, True) for id in range(count)}
    context.admission = PriorityAdmission(MemberConcurrency(float(limit)), running)


@then("{count:d} single statements may still be sent")
def room_left(context: Context, count: int) -> None:
    """Compare the free room."""
    room = free_room(context.admission, 0.0)
    assert room == count, room


@then("no more than that once {count:d} others have begun")
def no_more_room(context: Context, count: int) -> None:
    """Begin them, so that twice the limit are in progress."""
    newer = {100 + id: StatementInProgress(-0.9, 1, True) for id in range(count)}
    admission = context.admission._replace(
        statement_by_lease={**context.admission.statement_by_lease, **newer}
    )
    assert free_room(admission, 0.0) == 0, free_room(admission, 0.0)


@when("it can't be reached {count:d} times")
def lost(context: Context, count: int) -> None:
    """Lose connections."""
    for _ in range(count):
        context.concurrency = reduce_after_loss(context.concurrency, MEMBER_SLOTS)


@given("a member that {count:d} statements may use at a time")
def limited_member(context: Context, count: int) -> None:
    """Make the limit of one instance."""
    context.concurrency = MemberConcurrency(float(count))
    context.now = 1.0


@given("it has answered {count:d} statements in {ms:d} ms each")
def answered_before(context: Context, count: int, ms: int) -> None:
    """Answer without others that wait."""
    _answer(context, count, ms, others_wait=False)


@when("it answers {count:d} statements in {ms:d} ms each while others wait")
def answers(context: Context, count: int, ms: int) -> None:
    """Answer them one after the other."""
    _answer(context, count, ms, others_wait=True)


@when("it answers {count:d} statement in time while others wait")
@when("it answers {count:d} statements in time while others wait")
def answers_in_time(context: Context, count: int) -> None:
    """Answer with one duration."""
    _answer(context, count, 20, others_wait=True)


def _answer(context: Context, count: int, ms: int, others_wait: bool) -> None:
    for _ in range(count):
        context.now += ms / 1000
        context.concurrency = complete_statement(
            context.concurrency, 1, ms / 1000, MEMBER_SLOTS, others_wait, context.now
        )


@when("it refuses {count:d} statements that were sent together")
def refuses(context: Context, count: int) -> None:
    """Refuse them within a few milliseconds."""
    for _ in range(count):
        context.now += 0.001
        context.concurrency = reduce_after_rejection(context.concurrency, context.now)


@then("{count:d} statement may be in progress")
@then("{count:d} statements may be in progress")
def limit_is(context: Context, count: int) -> None:
    """Compare the whole statements of the limit."""
    assert int(context.concurrency.limit) == count, context.concurrency.limit


@given(
    "a workspace with a rate of {rate:d}/s at a holder that gives tokens by priority"
)
def holder_of_tokens(context: Context, rate: int) -> None:
    """Hold all leases of the workspace's rate."""
    context.buckets = RateBuckets()
    context.buckets.set_held(RateLeasesHeld(RATE_LEASES, float("inf"), ()))
    limit = WorkspaceLimit("w", float(rate), float(rate))
    context.buckets.limit_by_workspace = {"w": limit}
    context.rate = rate


@when(
    "it sends {urgent:d} operations of priority 0 "
    "and {others:d} of priority 2 a second for {seconds:d} s"
)
def sends_operations(context: Context, urgent: int, others: int, seconds: int) -> None:
    """Send them at random times, and count those that got a token."""
    random = Random(SEED)
    context.count_by_result = Counter()
    context.seconds, now = seconds, 0.0
    while (now := now + random.expovariate(urgent + others)) < seconds:
        priority = 0 if random.random() < urgent / (urgent + others) else 2
        granted = context.buckets.spend("w", now, priority)
        context.count_by_result[priority, granted] += 1


@then("under {share:f} of its operations of priority {priority:d} get no token")
def few_without_token(context: Context, share: float, priority: int) -> None:
    """Compare with all operations of the priority."""
    counts = context.count_by_result
    refused, granted = counts[priority, False], counts[priority, True]
    assert refused < share * (refused + granted), dict(counts)


@then("at least {share:f} of the tokens go to operations of priority {priority:d}")
def some_with_token(context: Context, share: float, priority: int) -> None:
    """Compare with all tokens that were given."""
    granted = sum(n for (_, token), n in context.count_by_result.items() if token)
    assert context.count_by_result[priority, True] >= share * granted


@then("it got at least {share:f} of its rate")
def got_its_rate(context: Context, share: float) -> None:
    """Tokens must not be left over while operations are refused."""
    granted = sum(n for (_, token), n in context.count_by_result.items() if token)
    assert granted >= share * context.rate * context.seconds, granted
