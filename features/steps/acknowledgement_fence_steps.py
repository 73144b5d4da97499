"""Steps for the fence of acknowledgements at a promotion."""

from itertools import groupby

from behave import given, then, when
from behave.runner import Context
from features.fakes.announced_instances import OWN, AnnouncedInstances
from features.fakes.memory_records import MemoryRecords
from features.fakes.replicated_group import PRIMARY, STORE_START_S, ReplicatedGroup
from msgspec.json import encode
from trio import open_memory_channel, run
from trio.testing import MockClock

from jackdawspread.decisions.acknowledgement.promotion_state_of import promotion_state
from jackdawspread.decisions.failover.promotion_lock import acquire_promotion_lock
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.promotion_result import PromotionResult
from jackdawspread.messages.fleet.store_epoch import StoreEpoch
from jackdawspread.messages.position import Position
from jackdawspread.tasks.members.group_monitor import GroupMonitor

TOLERANCE_S = 0.003
# More calls than fit into the time of a lock.
MANY_CALLS = 1000


def names(text: str) -> list[str]:
    """Return the names in a list of a scenario."""
    return [] if text == "none" else text.split(",")


@given('a lock held until {until} by "{holder}" that is suspended "{suspended}"')
def given_suspended_lock(
    context: Context, until: str, holder: str, suspended: str
) -> None:
    """Hold the lock."""
    context.record = PromotionLockRecord(
        token=4, holder=holder, until=float(until), ordered=""
    )
    if suspended == "yes":
        context.record["suspended"] = True


@given('its record has the request "{ordered}" and outstanding requests "{members}"')
def given_recorded_requests(context: Context, ordered: str, members: str) -> None:
    """Record requests; a record of an earlier version names only the last."""
    context.record["ordered"] = "" if ordered == "none" else ordered
    if members != "not known":
        context.record["outstanding"] = names(members)


@when("its promotion state is taken at {alive} or, if the holder has died, at {dead}")
def when_state_taken(context: Context, alive: str, dead: str) -> None:
    """Derive the state."""
    time = dead if context.record["holder"] == "dead" else alive
    context.state = promotion_state("g", context.record, 7, 1, float(time))


@then('it is suspended "{suspended}" and "{members}" are outstanding')
def then_state(context: Context, suspended: str, members: str) -> None:
    """Compare the state."""
    state = context.state
    token = context.record["token"]
    assert (state.group, state.version, state.epoch, state.token) == ("g", 7, 1, token)
    assert state.is_suspended is (suspended == "yes"), state
    assert state.outstanding == tuple(names(members)), state


@when("another instance acquires the lock at {time:g}")
def when_acquired(context: Context, time: float) -> None:
    """Acquire an expired lock."""
    record = acquire_promotion_lock(context.record, "i2", time, StoreEpoch(0, 0.0))
    assert record is not None and record["holder"] == "i2"
    context.record = record


@given('a group whose attempts fence acknowledgements at "{instances}"')
def given_fenced_group(context: Context, instances: str) -> None:
    """Register instances; ``i2=3`` loses the first 3 announcements to i2."""
    ends = dict.fromkeys(("m0", "m1", "m2"), Position(1, 9))
    context.group = group = ReplicatedGroup(ends, set())
    group.is_fenced = True
    group.held_s = 3.0
    pairs = (pair.split("=") for pair in instances.split(","))
    group.announced = AnnouncedInstances({id: float(lost) for id, lost in pairs})

    async def register() -> None:
        for id, address in group.announced.address_by_instance.items():
            entry = InstanceEntry(address, "z1")
            await group.instances.put(f"instance-{id}", encode(entry))

    run(register)


@given("a group whose attempts fence no acknowledgements")
def given_unfenced_group(context: Context) -> None:
    """Make an asynchronous group."""
    ends = dict.fromkeys(("m0", "m1", "m2"), Position(1, 9))
    context.group = ReplicatedGroup(ends, set())


@given('outstanding requests "{members}" from before')
def given_outstanding(context: Context, members: str) -> None:
    """Record requests of earlier attempts."""
    requested = names(members)
    context.group.record["outstanding"] = requested
    context.group.record["ordered"] = requested[-1] if requested else ""


@given('outstanding requests "{members}" from before, for which "{paused}" rest paused')
def given_outstanding_paused(context: Context, members: str, paused: str) -> None:
    """Record requests of earlier attempts that left replicas paused."""
    given_outstanding(context, members)
    context.group.paused = dict.fromkeys(names(paused), 1)


@given("a list of instances that {state}")
def given_list(context: Context, state: str) -> None:
    """Lose the answer with the list, or store an entry that can't be decoded."""
    group = context.group
    if state == "can't be read":
        group.instances = UnreadableRecords()
    if state == "has an odd entry":
        run(group.instances.put, "instance-i4", b"{}")


@given("a promotion lock that {state}")
def given_lock(context: Context, state: str) -> None:
    """Let writes fail, or let the lock expire during the fence."""
    context.group.is_unwritable = state == "can't be written"
    if state == "expires in 0 s":
        context.group.held_s = 0.0


@given("calls that are {answers}")
def given_answers(context: Context, answers: str) -> None:
    """Choose the answers of the platform."""
    group = context.group
    if answers == "accepted without effect":
        group.effect_delay_s = 60.0
    if answers == "rejected":
        group.answers = [PromotionResult.REJECTED]
    if answers == "never answered":
        group.answers = [PromotionResult.UNKNOWN] * MANY_CALLS


@given("the primary confirms a commit through another replica during the fence")
def given_commit(context: Context) -> None:
    """Let a replica that was not listed confirm a commit."""
    context.group.commits_during_fence = True


@given('the request for "{member}" is executed during the fence')
def given_executed(context: Context, member: str) -> None:
    """Let an earlier request take effect."""
    context.group.executed_during_fence = member


@given('the request for "{member}" is executed {delay:g} s after the next call')
def given_executed_late(context: Context, member: str, delay: float) -> None:
    """Let a request that was accepted before take effect after the next one."""
    context.group.executed_after_call = member
    context.group.execution_delay_s = delay


@given('logs that end at "{ends}"')
def given_logs(context: Context, ends: str) -> None:
    """Set the sequence numbers, such as ``m0=10``; all members are listed."""
    pairs = (pair.split("=") for pair in ends.split(","))
    context.group.end_by_member = {id: Position(1, int(end)) for id, end in pairs}
    context.group.listed = set(context.group.end_by_member)


@given("a list that may lack a member")
def given_incomplete_list(context: Context) -> None:
    """Read lists just after an outage of the store."""
    context.group.is_list_whole = False


@given("no list of members can be read in an attempt")
def given_no_list(context: Context) -> None:
    """Lose the lists of members."""
    context.group.is_list_late = True


@given('"{leaders}" claim to be the primary')
def given_leaders(context: Context, leaders: str) -> None:
    """Choose the members that claim to be the primary."""
    context.group.leaders = set(names(leaders))


@when("a fenced attempt is made on a primary that {trouble}")
@when("an attempt is made on a primary that {trouble}")
def when_attempt(context: Context, trouble: str) -> None:
    """Run one attempt."""
    group = context.group
    if trouble in ("is unreachable", "leaves, and is silent"):
        group.end_by_member.pop(PRIMARY)
    if trouble == "only others reach":
        group.cut_off = {PRIMARY}
    group.is_planned = trouble.startswith("leaves")
    context.writes_stalled = trouble == "gets no write confirmed"
    run(group.attempt, context.writes_stalled, clock=MockClock(autojump_threshold=0))


@when("an attempt is made to withdraw requests")
def when_withdrawn(context: Context) -> None:
    """Run one attempt."""
    context.group.withdraws_requests = True
    run(context.group.attempt, False, clock=MockClock(autojump_threshold=0))


@then('the record was written and calls were made in the order "{order}"')
def then_order(context: Context, order: str) -> None:
    """Compare the writes, comparisons and calls, repeated ones counting once."""
    found = [entry for entry, _ in groupby(context.group.journal)]
    expected = order.split("; ")
    assert found == expected, (found, context.group.outcomes)


@then('"{instances}" had confirmed when the logs were compared')
def then_confirmed(context: Context, instances: str) -> None:
    """Compare the other instances that had confirmed."""
    group = context.group
    confirmed_at = group.announced.confirmed_at
    found = {id for id, at in confirmed_at.items() if at <= group.compared_at} - {OWN}
    assert found == set(names(instances)), (confirmed_at, group.compared_at)


@then('the logs are compared after {seconds:g} s and "{member}" is promoted')
def then_compared(context: Context, seconds: float, member: str) -> None:
    """Compare the time, which begins at 0."""
    group = context.group
    assert group.promoted == [member], (group.promoted, group.outcomes)
    assert abs(group.compared_at - seconds) < TOLERANCE_S, group.compared_at


@then('the promoted member is "{member}"')
def then_promoted(context: Context, member: str) -> None:
    """Compare the calls."""
    group = context.group
    assert group.promoted == names(member), (group.promoted, group.outcomes)


@then("the lock was extended by {seconds:g} s")
def then_extended(context: Context, seconds: float) -> None:
    """Compare the expiry after the attempt."""
    extension_s = context.group.record["until"] - STORE_START_S - 3.0
    assert abs(extension_s - seconds) < TOLERANCE_S, extension_s


@then('no call was made and the outcome is "{outcome}"')
def then_no_call(context: Context, outcome: str) -> None:
    """Compare the calls and the outcome."""
    group = context.group
    assert not group.promoted and group.outcomes == [outcome], group.outcomes


@then('the outcome is "{outcome}" and "{paused}" rest paused')
def then_outcome(context: Context, outcome: str, paused: str) -> None:
    """Compare the outcome and the replicas that don't receive."""
    group = context.group
    assert group.outcomes == [outcome], group.outcomes
    assert set(group.paused) == set(names(paused)), group.paused


@then("the last state announced is not suspended and has no outstanding requests")
def then_open(context: Context) -> None:
    """Compare the newest state, if there is one."""
    then_last_state(context, "none")


@then(
    "the last state announced is not suspended and has the outstanding requests "
    '"{members}"'
)
def then_last_state(context: Context, members: str) -> None:
    """Compare the newest state that was announced, and the record."""
    group = context.group
    record = group.record
    assert not record.get("suspended"), record
    assert record.get("outstanding", []) == names(members), record
    states = group.announced.received["i2"]
    if states:
        # Datagrams may arrive in another order.
        id, state = max(states, key=lambda received: received[1].version)
        assert id == 0 and not state.is_suspended, state
        assert state.outstanding == tuple(names(members)), state


class UnreadableRecords(MemoryRecords):
    """Store that does not answer the request for a list."""

    async def list(self, prefix: str) -> None:
        """Return no list."""


@given(
    "a router that knows a configuration in which the group has {replicas} synchronous "
    "replicas"
)
def router_with_group(context: Context, replicas: str) -> None:
    """Create the part of the router that sends triggers."""
    context.send, context.triggers = open_memory_channel(10)
    others = [open_memory_channel(10) for _ in range(2)]
    # The receiving ends are kept, as a channel without one is broken.
    context.others = others
    context.monitor = GroupMonitor(context.send, others[0][0], others[1][0])
    if replicas != "unknown":
        group = MemberGroup("g", 16, sync_replicas=int(replicas))
        context.monitor.update_groups({"g": group})


@when("its list of members names no primary")
def without_primary(context: Context) -> None:
    """Apply lists with two replicas until the router reports it."""
    listings = {
        name: MemberListing(name, "g", f"10.0.0.{number}:80", "z1", 1, False, False)
        for number, name in enumerate(("m1", "m2"))
    }
    for now in (100.0, 110.0):
        context.monitor.update_members(MembersSeen(listings, now), now)


@then("its trigger says that the promotion fences acknowledgements: {expected}")
def trigger_fences(context: Context, expected: str) -> None:
    """Compare the trigger."""
    trigger = context.triggers.receive_nowait()
    assert trigger.fences_acknowledgements == (expected == "yes"), trigger
