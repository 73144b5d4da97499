"""Steps for the duty to promote over lost answers of the store."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.lossy_record_store import LossyRecordStore
from msgspec.json import decode, encode
from trio import run

from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.tasks.fleet.promotion_lock_client import PromotionLockClient

FATE_BY_WORDS = {
    "is done": "done",
    "is done but not answered": "unanswered",
    "is done late and not answered": "late",
    "is lost": "lost",
}
OTHER = PromotionLockRecord(token=1, holder="i2", until=1e9, ordered="")


@given("a store whose next write {first} and whose write after that {second}")
def lossy_store(context: Context, first: str, second: str) -> None:
    """Choose the fates of the first two writes."""
    context.records = LossyRecordStore([FATE_BY_WORDS[first], FATE_BY_WORDS[second]])


@given("a store in which another instance takes the duty while a write is lost")
def raced_store(context: Context) -> None:
    """Lose the first write and let another instance write."""
    context.records = LossyRecordStore(["lost"])
    context.records.other = encode(OTHER)


@when('an instance takes the duty and announces "{member}"')
def takes_and_announces(context: Context, member: str) -> None:
    """Take the duty, and announce if it was got."""

    async def act() -> None:
        keeper = PromotionLockClient("i1", context.records)
        context.lock = await keeper.acquire("g")
        if not isinstance(context.lock, str):
            context.lock = await keeper.record_promotion(context.lock, member)

    run(act)


@then('the record names it and "{member}" under the token {token:d}, written twice')
def record_names(context: Context, member: str, token: int) -> None:
    """Compare the record in the store with the duty that is held."""
    record = decode(context.records.value, type=PromotionLockRecord)
    assert record["holder"] == "i1" and record["ordered"] == member, record
    assert record["token"] == token, record
    assert context.lock.record == record
    assert context.lock.version == context.records.version == 2


@then("it has not got the duty")
def not_got(context: Context) -> None:
    """The keeper gives a reason."""
    assert isinstance(context.lock, str), context.lock
    assert context.records.value == context.records.other
