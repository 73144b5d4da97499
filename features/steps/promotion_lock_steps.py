"""Steps for the promotion lock when answers of the store are lost."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.failover_world import FailoverWorld
from features.fakes.lossy_record_store import NOW_S, LossyRecordStore
from msgspec.json import decode, encode
from trio import run

from jackdawspread.decisions.failover.acknowledgement_suspension import (
    suspend_acknowledgements,
)
from jackdawspread.decisions.failover.promotion_lock import PROMOTION_LOCK_TTL_S
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.tasks.fleet.promotion_lock_client import PromotionLockClient

RESULT_BY_STEP_TEXT = {
    "is done": "done",
    "is done but not answered": "unanswered",
    "is done late and not answered": "late",
    "is lost": "lost",
}
OTHER = PromotionLockRecord(token=1, holder="i2", until=1e9, ordered="")


@given("a store whose next write {first} and whose write after that {second}")
def lossy_store(context: Context, first: str, second: str) -> None:
    """Choose the results of the first two writes."""
    context.records = LossyRecordStore(
        [RESULT_BY_STEP_TEXT[first], RESULT_BY_STEP_TEXT[second]]
    )


@given("a store in which another instance acquires the lock while a write is lost")
def raced_store(context: Context) -> None:
    """Lose the first write and let another instance write."""
    context.records = LossyRecordStore(["lost"])
    context.records.other = encode(OTHER)


@when('an instance acquires the promotion lock and records "{member}"')
def acquires_and_records(context: Context, member: str) -> None:
    """Acquire the lock and, if that succeeds, record the member."""

    async def act() -> None:
        client = PromotionLockClient("i1", context.records)
        context.lock = await client.acquire("g")
        if not isinstance(context.lock, str):
            context.lock = await client.record_promotion(
                context.lock, member, 4, frozenset({"m1", "m2"})
            )

    run(act)


@when('an instance acquires the promotion lock and releases it with "{roster}"')
def acquires_and_releases(context: Context, roster: str) -> None:
    """Acquire and release the lock."""
    members = frozenset() if roster == "none" else frozenset(roster.split(","))

    async def act() -> None:
        client = PromotionLockClient("i1", context.records)
        lock = await client.acquire("g")
        await client.release(lock, members)

    run(act)


@when('an instance requests the promotion of "{member}", which is rejected')
def promotion_rejected(context: Context, member: str) -> None:
    """Run an attempt whose promotion request is rejected."""

    async def act() -> None:
        world = FailoverWorld({"m0"}, ["rejected"])
        await world.run(PromotionLockClient("i1", context.records))
        assert world.outcome == f"promotion rejected member={member}", world.outcome

    run(act)


@when("an instance acquires the promotion lock and suspends acknowledgements")
def acquires_and_suspends(context: Context) -> None:
    """Acquire the lock and extend it."""

    async def act() -> None:
        client = PromotionLockClient("i1", context.records)
        acquired = await client.acquire("g")
        context.acquired_until = acquired.held_until
        suspended = suspend_acknowledgements(acquired.record)
        context.lock = await client.extend(acquired, suspended)

    run(act)


@then(
    "the record is suspended, and the lock is held for {seconds:g} s here and in the "
    "store"
)
def extended(context: Context, seconds: float) -> None:
    """Compare the record in the store with the lock that is held."""
    record = decode(context.records.value, type=PromotionLockRecord)
    extension_s = context.lock.held_until - context.acquired_until
    assert record["suspended"] and context.lock.record == record, record
    assert record["until"] == NOW_S + seconds, record
    assert abs(PROMOTION_LOCK_TTL_S + extension_s - seconds) < 1e-6, extension_s
    assert context.lock.version == context.records.version


@then('the record has no holder and the roster "{roster}"')
def released_with(context: Context, roster: str) -> None:
    """Compare the record in the store."""
    record = decode(context.records.value, type=PromotionLockRecord)
    assert not record["holder"], record
    assert ",".join(record.get("roster", ["none"])) == roster, record


@then('the record names it and "{member}" with the token {token:d}, written twice')
def record_names(context: Context, member: str, token: int) -> None:
    """Compare the record in the store with the lock that is held."""
    record = decode(context.records.value, type=PromotionLockRecord)
    assert record["holder"] == "i1" and record["ordered"] == member, record
    assert record["token"] == token, record
    assert context.lock.record == record
    assert context.lock.version == context.records.version == 2


@then("it does not hold the promotion lock")
def not_held(context: Context) -> None:
    """Check that a reason is returned and the other record is unchanged."""
    assert isinstance(context.lock, str), context.lock
    assert context.records.value == context.records.other
