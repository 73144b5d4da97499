"""Steps for the leases of the workspaces' rates."""

from behave import given, then, when
from behave.runner import Context
from features.support.trio_thread import TrioThread
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st
from trio import open_memory_channel

from jackdawspread.decisions.rate_leases.lease_writes import (
    LEASE_TTL_S,
    PARTS,
    RATE_LEASES,
    held_parts,
    next_write_at,
    write_leases,
)
from jackdawspread.decisions.rate_leases.scale_limit import scale_limit
from jackdawspread.decisions.store_reads.domain_rank import rank_in_domain
from jackdawspread.decisions.store_reads.member_poll_schedule import poll_interval_s
from jackdawspread.decisions.store_reads.store_clock_offset import (
    StoreClockOffset,
    to_local_time,
)
from jackdawspread.messages.fleet.admission_request import AdmissionRequest
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.rate_leases_held import RateLeasesHeld
from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.messages.fleet.store_epoch import StoreEpoch
from jackdawspread.messages.fleet.token_replied import TokenReplied
from jackdawspread.messages.fleet.token_reply import TokenReply
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit
from jackdawspread.tasks.fleet.rate_buckets import RateBuckets
from jackdawspread.tasks.fleet.rate_lease_task import EXPIRY_MARGIN_S, RateLeaseTask
from jackdawspread.tasks.fleet.token_requests import REPLY_TIMEOUT_S, TokenRequests

SEED = 4
EXAMPLES = 300
NOW = 100.0
# The store was never restored.
EPOCH = StoreEpoch(1, float("-inf"))
LIMIT = WorkspaceLimit("w", 9.0, 9.0)


@given("any order of writes, pauses and crashes of 5 instances")
def any_writes(context: Context) -> None:
    """Draw steps; a write that was computed from an old record would change nothing."""
    action = st.sampled_from(["write", "write", "write", "crash"])
    # Pauses around the times at which a lease is renewed, given up and claimed.
    pause = st.sampled_from([0.1, 0.5, 1.0, 3.0, 6.0, 10.0, 11.5, 12.5, 13.5, 14.5])
    step = st.tuples(action, st.integers(0, 4), pause)

    @seed(SEED)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @for_all(st.lists(step, max_size=40))
    def check(steps: list[tuple[str, int, float]]) -> None:
        record, now = {}, NOW
        usable_until: dict[tuple[str, int], float] = {}
        for kind, number, seconds in steps:
            now += seconds
            if kind == "write":
                record = write_leases(record, f"i{number}", "a:1", NOW, EPOCH, now)
            for part in PARTS:
                if kind == "crash":
                    usable_until.pop((part, number), None)
                elif part in held_parts(record, f"i{number}"):
                    until = now + LEASE_TTL_S - EXPIRY_MARGIN_S
                    usable_until[part, number] = until
                users = [n for n in range(5) if usable_until.get((part, n), 0) > now]
                context.most = max(context.most, len(users))

    context.most = 0
    check()


@then("no part may be used by two of them at the same time")
def one_user(context: Context) -> None:
    """Compare the largest number of users that was seen."""
    assert context.most == 1, context.most


def _keep(
    record: dict, instances: list[str], start: float, seconds: float
) -> tuple[dict, int]:
    """Let instances write the record when they are due; return it and the writes."""
    writes, now = 0, start
    renewed: set[str] = set()
    while now < start + seconds:
        for name in instances:
            if _is_due(record, name, NOW, name in renewed, now):
                record = write_leases(record, name, f"{name}:1", NOW, EPOCH, now)
                renewed.add(name)
                writes += 1
        now += 0.01
    return record, writes


def _is_due(
    record: dict, name: str, known_since: float, has_renewed: bool, now: float
) -> bool:
    return next_write_at(record, name, known_since, has_renewed, EPOCH, now) <= now


def _names(instances: int) -> list[str]:
    return [f"front-{number}" for number in range(instances)]


@given("{instances:d} instances of which each holds a lease")
def each_holds(context: Context, instances: int) -> None:
    """Let the instances claim the leases."""
    context.names = _names(instances)
    context.record, _ = _keep({}, context.names, NOW, 6.0)
    for name in context.names:
        assert len(held_parts(context.record, name)) == 1, context.record
    context.now = NOW + 6.0


@when("the first restarts {seconds:f} s after it renewed its lease")
def restarts(context: Context, seconds: float) -> None:
    """Write once as a new process."""
    name = context.names[0]
    context.before = held_parts(context.record, name)
    now = context.record[context.before[0]]["until"] - LEASE_TTL_S + seconds
    context.due = _is_due(context.record, name, now, False, now)
    context.record = write_leases(context.record, name, "a:1", now, EPOCH, now)


@then("it writes the record at once, and holds what it held")
def holds_again(context: Context) -> None:
    """Compare the leases before and after."""
    assert context.due
    assert held_parts(context.record, context.names[0]) == context.before


@when("the first is lost for {seconds:d} s while the others renew")
def first_lost(context: Context, seconds: int) -> None:
    """Let the others keep the record."""
    others = context.names[1:]
    context.record, _ = _keep(context.record, others, context.now, seconds)


@then("the {leases:d} leases are held by the other {instances:d}")
def held_by_others(context: Context, leases: int, instances: int) -> None:
    """Check the holders."""
    holders = [lease["holder"] for lease in context.record.values()]
    assert len(holders) == leases and context.names[0] not in holders, holders
    assert len(set(holders)) == instances, holders


@given("{instances:d} instances and a record without leases")
def no_leases(context: Context, instances: int) -> None:
    """Let the instances claim until all parts have a holder."""
    context.record, _ = _keep({}, _names(instances), NOW, 2.0)


@then("the first {claims:d} claims are by {instances:d} instances")
def first_claims(context: Context, claims: int, instances: int) -> None:
    """Check that no instance holds two leases."""
    holders = {lease["holder"] for lease in context.record.values()}
    assert len(context.record) == claims and len(holders) == instances, holders


@given("{instances:d} instances that keep the leases for {seconds:d} s")
def keep(context: Context, instances: int, seconds: int) -> None:
    """Count the writes."""
    _, context.writes = _keep({}, _names(instances), NOW, seconds)


@then("the record is written at most {writes:d} times")
def few_writes(context: Context, writes: int) -> None:
    """Compare the number of writes."""
    assert context.writes <= writes, context.writes


@given("any order of spending and returning tokens of {holders:d} holders")
def any_spending(context: Context, holders: int) -> None:
    """Draw operations on the buckets of the holders of one limit."""
    kind = st.sampled_from(["spend", "return"])
    step = st.tuples(kind, st.integers(0, holders - 1), st.floats(0, 0.5))

    @seed(SEED)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @for_all(st.lists(step, max_size=60))
    def check(steps: list[tuple[str, int, float]]) -> None:
        buckets = [_holder() for _ in range(holders)]
        now, spent = 0.0, []
        for action, holder, pause in steps:
            now += pause
            if action == "return" and spent and spent[-1] == (now, holder):
                spent.pop()
                buckets[holder].add("w", now)
            elif buckets[holder].spend("w", now):
                spent.append((now, holder))
        for index, (start, _) in enumerate(spent):
            for count, (end, _) in enumerate(spent[index:], 1):
                assert count <= LIMIT.burst + LIMIT.rate_per_s * (end - start) + 1e-6

    check()


def _holder() -> RateBuckets:
    buckets = RateBuckets()
    buckets.set_held(RateLeasesHeld(1, float("inf"), ()))
    buckets.limit_by_workspace = {"w": LIMIT}
    return buckets


@then("no window holds more operations than the burst plus the rate over the window")
def no_window(context: Context) -> None:
    """Do nothing; the drawn runs have asserted it."""


@given("a workspace with a rate of 8/s and a burst of {burst:d}")
def workspace(context: Context, burst: int) -> None:
    """Add up the bursts of the parts."""
    limit = WorkspaceLimit("w", 8.0, float(burst))
    context.total = RATE_LEASES * scale_limit(limit, 1).burst


@then("the parts together have a burst of {total:d}")
def total_burst(context: Context, total: int) -> None:
    """Compare the sum."""
    assert abs(context.total - total) < 1e-9, context.total


@given("an instance without a lease that knows {holders:d} holders")
def knows_holders(context: Context, holders: int) -> None:
    """Start one operation."""
    peers, context.sent = open_memory_channel(100)
    context.requests = TokenRequests(peers, 1)
    context.requests.holders = tuple(f"10.0.0.{n}:7" for n in range(holders))
    context.ended = []
    assert context.requests.start(_operation(), "w", 1.0, NOW)
    context.asked = [context.sent.receive_nowait()]


def _operation() -> AdmissionRequest:
    reply_to, _ = open_memory_channel(1)
    return AdmissionRequest("d", "k", True, reply_to)


def _reply(context: Context, granted: bool, wait_ms: int) -> None:
    """Let the holder that was asked last reply, and take the next request."""
    last = context.asked[-1]
    reply = TokenReplied(TokenReply(last.message.id, granted, wait_ms), last.peer)
    ended = context.requests.handle_reply(reply, NOW)
    if ended is not None:
        context.ended.append((granted, ended))
    _take_sent(context)


def _take_sent(context: Context) -> None:
    while context.sent.statistics().current_buffer_used:
        context.asked.append(context.sent.receive_nowait())


@when("the first two holders it asks have no token and the third has one")
def third_grants(context: Context) -> None:
    """Reply for the three holders."""
    for granted in (False, False, True):
        _reply(context, granted, 500)


@then("the operation is admitted after {requests:d} requests")
def admitted(context: Context, requests: int) -> None:
    """Check that each holder was asked once."""
    assert [granted for granted, _ in context.ended] == [True]
    assert len({send.peer for send in context.asked}) == requests == len(context.asked)


@when("none of the holders has a token, and the shortest wait is {wait_ms:d} ms")
def none_grants(context: Context, wait_ms: int) -> None:
    """Reply for the three holders."""
    for wait in (900, wait_ms, 700):
        _reply(context, False, wait)


@then("the operation is refused at once and may return after {wait_ms:d} ms")
def refused(context: Context, wait_ms: int) -> None:
    """Compare the wait."""
    [(granted, ended)] = context.ended
    assert not granted and round(1000 * ended.wait_s) == wait_ms, ended


@when("the first holder it asks does not reply within {timeout_ms:d} ms")
def silent(context: Context, timeout_ms: int) -> None:
    """Let the time for the reply pass."""
    assert timeout_ms == round(1000 * REPLY_TIMEOUT_S)
    assert context.requests.expire(NOW + REPLY_TIMEOUT_S) == []
    _take_sent(context)


@then("it asks another holder, and further operations do not ask the silent one")
def skipped(context: Context) -> None:
    """Start as many operations as would ask each holder first."""
    silent_holder = context.asked[0].peer
    assert context.asked[1].peer != silent_holder
    for _ in range(3):
        assert context.requests.start(_operation(), "w", 1.0, NOW + REPLY_TIMEOUT_S)
    _take_sent(context)
    assert silent_holder not in {send.peer for send in context.asked[1:]}


@when("a holder grants one token twice")
def twice(context: Context) -> None:
    """Repeat the reply."""
    _reply(context, True, 0)
    _reply(context, True, 0)


@then("one operation is admitted")
def one_admitted(context: Context) -> None:
    """Count the operations that a reply has ended."""
    assert len(context.ended) == 1, context.ended


@given("{instances:d} instances in the failure domain, of which {lost:d} do not answer")
def readers(context: Context, instances: int, lost: int) -> None:
    """Take the interval of the first instance that answers."""
    entries = {f"i{n}": InstanceEntry(f"10.0.0.{n}:7", "z1") for n in range(instances)}
    entries["i-other"] = InstanceEntry("10.0.1.1:7", "z2")
    context.interval = min(
        poll_interval_s(rank_in_domain(f"i{number}", "z1", entries), False)
        for number in range(lost, instances)
    )


@then("the list of members is read {interval:f} s after the last one")
def read_after(context: Context, interval: float) -> None:
    """Compare the interval."""
    assert abs(context.interval - interval) < 1e-9, context.interval


@given("an instance that has seen no answer of the store")
def no_answer(context: Context) -> None:
    """Start with an unknown offset."""
    context.offset = StoreClockOffset()


@when("another instance passes on something confirmed at the store's time {time_s:d}")
def passed_on(context: Context, time_s: int) -> None:
    """Convert the time."""
    context.local_time = to_local_time(context.offset, time_s)


@then("it counts as infinitely old")
def infinitely_old(context: Context) -> None:
    """Compare the local time."""
    assert context.local_time == float("-inf"), context.local_time


class _AwayRecords:
    """Records of a store that is away until ``is_back`` is set."""

    def __init__(self) -> None:
        self.is_back = False

    async def read(self, name: str) -> RecordOutcome:
        """Read the empty record."""
        if not self.is_back:
            return RecordOutcome(RecordStatus.UNKNOWN)
        return RecordOutcome(RecordStatus.DONE, 0, b"", NOW)

    async def epoch(self) -> StoreEpoch:
        """Return the only epoch."""
        return StoreEpoch(0, 0.0)

    async def write(
        self, name: str, expected: int, value: bytes, epoch: int
    ) -> RecordOutcome:
        """Refuse a write."""
        return RecordOutcome(RecordStatus.REFUSED)


@given("an instance that starts while the store does not answer")
def starts_without_store(context: Context) -> None:
    """Start the task that owns the leases."""
    context.records = _AwayRecords()
    admission, context.admission = open_memory_channel(100)
    peers, _ = open_memory_channel(100)
    _, announcements = open_memory_channel(1)
    task = RateLeaseTask(
        "i1", "10.0.0.1:7", context.records, announcements, admission, peers
    )
    context.thread = TrioThread()
    context.add_cleanup(context.thread.stop)
    context.thread.start(task.run)


@when("the store answers after {seconds:d} s")
def store_answers(context: Context, seconds: int) -> None:
    """Let the store return between two reads."""
    context.thread.advance(seconds + 0.05, step=0.01)
    context.records.is_back = True


@then("the instance knows the holders within {seconds:f} s")
def knows_holders_within(context: Context, seconds: float) -> None:
    """Check that the admission task was told."""
    assert not context.admission.statistics().current_buffer_used
    context.thread.advance(seconds, step=0.01)
    assert context.admission.statistics().current_buffer_used
