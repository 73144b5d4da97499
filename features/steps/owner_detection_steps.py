"""Steps for failure detection."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.owner_script import current_primary, fail_primary, play
from features.fakes.owner_world import A, OwnerWorld
from prometheus_client import REGISTRY
from trio import current_time, sleep

from jackdawspread.messages.position import Position
from jackdawspread.settings.experiment_settings import ExperimentSettings


@given("the owner opens connections in advance on suspicion")
def prepares(context: Context) -> None:
    """Switch on the opening of connections in advance."""
    context.options = {"experiment": ExperimentSettings(preparation="on")}


def false_alarms() -> float:
    """Return the number of false alarms counted in this process."""
    name = "jackdawspread_owner_false_alarms_total"
    return REGISTRY.get_sample_value(name, {"database": "swap"}) or 0.0


@when("one probe of the primary is lost")
def lose_probe(context: Context) -> None:
    """Drop one probe."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        context.alarms = false_alarms()
        world.members[A].dropped_calls.append("/status")
        await sleep(3)

    play(context, script)


@then("the primary stays and one false alarm is counted")
def stays(context: Context) -> None:
    """Check the term and the metric."""
    assert current_primary(context.world).address == A
    assert false_alarms() - context.alarms == 1
    assert not context.world.ran("prepare")


@when("the primary refuses connections while a write is sent")
def refuses(context: Context) -> None:
    """Refuse connections, although the replicas still reach the primary."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        world.members[A].is_refusing = True
        context.failed_at = current_time()
        await world.submit_and_wait("write")

    play(context, script)


@when("the primary fails with a write in flight")
def in_flight(context: Context) -> None:
    """Fail the primary before the write arrives at it."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        context.failed_at = current_time()
        fail_primary(world)
        await world.submit_and_wait("write", deadline=20)

    play(context, script)


@then("the write is acknowledged within {seconds:g} s of the owner's clock")
def in_time(context: Context, seconds: float) -> None:
    """Check the reply and its time on the mock clock."""
    [reply] = context.world.replies["write"]
    assert reply.is_ok() and reply.ok.served_by != A, reply
    elapsed = context.world.replied_at["write"] - context.failed_at
    assert elapsed < seconds, elapsed


@when("a request is sent to a standby owner")
def standby(context: Context) -> None:
    """Send a request to an owner that is not active."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner(is_active=False, settle=3)
        probes = len(world.ran("status"))
        assert probes <= 3 * 5, probes
        await world.submit_and_wait("write")

    play(context, script)


@then("it is answered")
def answered(context: Context) -> None:
    """Check the reply."""
    [reply] = context.world.replies["write"]
    assert reply.is_ok() and reply.ok.position > Position(1024, 1)
