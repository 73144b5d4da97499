"""Steps for the statements that wait for a member."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.slotted_member import MAX_WAIT_S, SWEEP_S, WORK_S, SlottedMember

from jackdawspread.decisions.members.connection_limits import ConnectionLimits
from jackdawspread.decisions.members.statement_queue import StatementQueue
from jackdawspread.tasks.members.connection_pools import ConnectionPools
from jackdawspread.tasks.members.member_pool import MemberPool

SEED = 7
SLOTS = 3


@given("a member with 3 slots that accepts 60 connections")
def member(context: Context) -> None:
    """Make one pool whose connections do not limit it."""
    context.member = SlottedMember(1, SLOTS, ConnectionLimits(60, 60))


@given("its statements have taken {ms:d} ms each")
def slow_statements(context: Context, ms: int) -> None:
    """Set the mean duration that the pool has observed."""
    pool = _pool(context.member.pools[0])
    pool._statements = StatementQueue(duration_s=ms / 1000)


def _pool(pools: ConnectionPools) -> MemberPool:
    (pool,) = pools.pool_by_member.values()
    return pool


@when("20 workspaces send a statement each")
def twenty(context: Context) -> None:
    """Send them at one moment, and let the connections open."""
    for number in range(20):
        context.member.send(0, f"w{number}")
    context.connected = _connected_without_progress(context)


def _connected_without_progress(context: Context) -> int:
    """Return how many statements are in progress once connections are open."""
    context.member.run(context.member.now + 0.05)
    return len(_pool(context.member.pools[0])._statements.started_at_by_lease)


@then("{count:d} of them have a connection")
def have_connection(context: Context, count: int) -> None:
    """At most the statements of the limit are in progress."""
    assert 0 < context.connected <= count, context.connected


@then("a transaction still gets a connection")
def transaction(context: Context) -> None:
    """Request one beside the statements."""
    before = len(context.member.granted)
    context.member.send(0, "w-transaction", single=False)
    context.member.run(context.member.now + 0.5)
    workspaces = [
        request.workspace for _, request, _ in context.member.granted[before:]
    ]
    assert "w-transaction" in workspaces, workspaces


@then("each statement that ends lets another one start")
def all_start(context: Context) -> None:
    """All statements are answered in the end."""
    context.member.run(context.member.now + 2)
    assert context.member.answered == 20, context.member.answered


@when("{count:d} others send one after that")
def others_send(context: Context, count: int) -> None:
    """Send while the statements of the first ones are in progress."""
    for number in range(count):
        context.member.send(0, f"later{number}")


@then("some of them are refused at once, with a time after which to retry")
def refused_at_once(context: Context) -> None:
    """Count the refusals of the same moment."""
    refused = context.member.refused_at_once
    assert 0 < len(refused) < 40 - 2 * SLOTS, refused
    assert all(refusal.retry_after_ms > 0 for refusal in refused.values()), refused


@then("those that wait are expected to get their turn in time")
def in_time(context: Context) -> None:
    """Nobody waits for more than the limit."""
    pool = _pool(context.member.pools[0])
    statements = pool._statements
    free = 2 * SLOTS - len(statements.started_at_by_lease)
    wait_s = (len(pool.waiting) - free) * statements.duration_s / (2 * SLOTS)
    assert wait_s <= MAX_WAIT_S, wait_s


@when("one workspace sends {count:d} statements")
def one_sends_many(context: Context, count: int) -> None:
    """Send them at one moment, and let connections open."""
    for _ in range(count):
        context.member.send(0, "heavy")
    context.member.run(context.member.now + 0.05)
    context.member.send(0, "heavy")


@when("another workspace sends one")
def another_sends_one(context: Context) -> None:
    """Send it while the others wait."""
    context.member.send(0, "light")


@then("the statement of the other workspace is not refused")
def not_refused(context: Context) -> None:
    """Only the workspace with many statements is refused."""
    assert list(context.member.refused_at_once) == ["heavy"]


@given("4 instances in front of a member with 3 slots and a queue of 24")
def four_pools(context: Context) -> None:
    """Make four pools with the limits of pool hosts."""
    context.member = SlottedMember(4, SLOTS, ConnectionLimits(12, 7))


@when("40 workspaces send 1.6 times what it can run for {seconds:d} s")
def overload(context: Context, seconds: int) -> None:
    """Play the load."""
    context.seconds = seconds
    context.member.play(40, 1.6 * SLOTS / WORK_S, seconds, SEED)


@then("at least {share:f} of its capacity was spent on answered statements")
def goodput(context: Context, share: float) -> None:
    """Compare the answered statements with what the slots can run."""
    capacity = context.seconds * SLOTS / WORK_S
    spent = context.member.answered / capacity
    assert spent >= share, (spent, context.member.rejected)


@then("no caller waited longer than it may")
def no_long_wait(context: Context) -> None:
    """Refusals come at the latest with the next sweep."""
    assert max(context.member.waits) <= MAX_WAIT_S + SWEEP_S + 0.001
