"""Steps for the recorded roster of a group."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.lossy_record_store import LossyRecordStore
from features.fakes.replicated_group import ReplicatedGroup, address, listing
from msgspec.json import decode, encode
from trio import open_memory_channel, open_nursery, run, sleep
from trio.testing import MockClock

from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.position import Position
from jackdawspread.tasks.fleet.roster_client import RosterClient
from jackdawspread.tasks.fleet.roster_task import RosterTask

LIST_INTERVAL_S = 1.0


@given('a recorded roster "{roster}" and a lock that {lock}')
def recorded(context: Context, roster: str, lock: str) -> None:
    """Store a record."""
    until = 1e9 if lock == "is held" else 0.0
    record = PromotionLockRecord(token=4, holder="i2", until=until, ordered="m0")
    if roster != "none":
        record["roster"] = [address(id) for id in roster.split(",")]
    context.records = LossyRecordStore([])
    context.records.value = encode(record)


@given('the roster "{roster}" is recorded by another instance after the first list')
def recorded_between(context: Context, roster: str) -> None:
    """Let another instance write the record."""
    context.recorded_between = roster


@given("{member} {state} after it has left the list")
def after_departure(context: Context, member: str, state: str) -> None:
    """Let the member end, or only its entry."""
    context.answers_without_entry = member if state == "answers" else ""


@when('an instance reads lists with "{lists}" while {replica} has {end} of 1.9')
def reads_lists(context: Context, lists: str, replica: str, end: str) -> None:
    """Pass lists of members to the task that keeps the roster."""
    term, _, sequence = end.partition(".")
    ends = {"m0": Position(1, 9), replica: Position(int(term), int(sequence))}
    if "answers_without_entry" in context and context.answers_without_entry:
        ends[context.answers_without_entry] = Position(1, 9)
    group = ReplicatedGroup(ends, set())
    send, receive = open_memory_channel(10)
    task = RosterTask(RosterClient(context.records), group, receive)

    async def act() -> None:
        async with open_nursery() as nursery:
            nursery.start_soon(task.run)
            for number, ids in enumerate(lists.split(";")):
                listed = {id: listing(id) for id in ids.split(",")}
                await send.send(MembersSeen(listed, float(number)))
                await sleep(LIST_INTERVAL_S)
                if number == 0 and "recorded_between" in context:
                    record = decode(context.records.value, type=PromotionLockRecord)
                    ids = context.recorded_between.split(",")
                    record["roster"] = [address(id) for id in ids]
                    context.records.value = encode(record)
            nursery.cancel_scope.cancel()

    run(act, clock=MockClock(autojump_threshold=0))


@then('the recorded roster is "{roster}" and the lock is unchanged')
def roster_is(context: Context, roster: str) -> None:
    """Compare the stored record."""
    record = decode(context.records.value, type=PromotionLockRecord)
    assert record["roster"] == [address(id) for id in roster.split(",")], record
    assert (record["token"], record["holder"], record["ordered"]) == (4, "i2", "m0")
