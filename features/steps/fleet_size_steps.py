"""Steps for a fleet of many instances with stand-ins of the users' platform."""

from behave import given, then, when
from behave.runner import Context
from features.wire.platform_world import PlatformWorld
from trio import sleep

SMALL_KEY = "key-of-w2"
SETTLING_S = 4.0
OPERATIONS = 15


@given("{instances:d} instances and members that accept {limit:d} connections")
def fleet(context: Context, instances: int, limit: int) -> None:
    """Start the stand-ins and the instances, and let the instances find each other."""
    context.instances = instances
    context.platform = PlatformWorld(instances, limit)
    context.platform.start()
    context.add_cleanup(context.platform.close)
    context.platform.call(sleep, SETTLING_S)


@when(
    "a workspace with a rate of 5/s sends {rate:d} operations/s to changing instances"
)
def within_rate(context: Context, rate: int) -> None:
    """Send operations of the small workspace, each to another instance."""
    context.answers = []
    for number in range(OPERATIONS):
        instance = 7 * number % context.instances
        caller = context.platform.open("primary-db", SMALL_KEY, instance)
        context.answers.append(context.platform.query(caller, f"WRITE a{number} 1"))
        context.platform.call(sleep, 1 / rate)


@then("none of them is refused")
def none_refused(context: Context) -> None:
    """Check that all operations succeeded."""
    refused = [answer for answer in context.answers if "DONE" not in answer[-2]]
    assert not refused, f"{len(refused)} of {OPERATIONS} refused: {refused[:2]}"


@when("a caller pauses in a transaction at an instance")
def pauses(context: Context) -> None:
    """Leave a transaction open that has written; its caller stays connected."""
    context.paused = context.platform.open("primary-db")
    for text in ("BEGIN", "WRITE held 1"):
        answer = context.platform.query(context.paused, text)
        assert "DONE" in answer[-2], answer


@then("{callers:d} other callers of the instance can write at the same member")
def others_write(context: Context, callers: int) -> None:
    """Write through the same instance, in the other workspace too."""
    for number in range(callers):
        key = SMALL_KEY if number == 0 else "key-of-w1"
        caller = context.platform.open("primary-db", key)
        answer = context.platform.query(caller, f"WRITE b{number} 1")
        assert "DONE" in answer[-2], answer


@when("the instances idle for {seconds:d} s")
def idle(context: Context, seconds: int) -> None:
    """Count the calls to the store meanwhile."""
    before = len(context.platform.store.calls)
    context.platform.call(sleep, seconds)
    context.calls_per_s = (len(context.platform.store.calls) - before) / seconds


@then("the store gets at most {limit:d} calls a second")
def few_calls(context: Context, limit: int) -> None:
    """Compare the rate of calls."""
    assert context.calls_per_s <= limit, context.calls_per_s


@then("each of them has made at most {limit:d} calls to the store")
def few_calls_at_start(context: Context, limit: int) -> None:
    """Count the calls since the instances were started."""
    calls = len(context.platform.store.calls) / context.instances
    assert calls <= limit, calls
