"""Steps for failure detection."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.owner_script import fail_primary, in_force, play
from features.fakes.owner_world import A, OwnerWorld
from prometheus_client import REGISTRY
from trio import current_time, sleep

from jackdawspread.messages.position import Position
from jackdawspread.settings.experiment_settings import ExperimentSettings


@given("the owner prepares at suspicion")
def prepares(context: Context) -> None:
    """Switch the preparation on."""
    context.options = {"experiment": ExperimentSettings(preparation="on")}


def false_alarms() -> float:
    """Return the number of false alarms counted in this process."""
    name = "jackdawspread_owner_false_alarms_total"
    return REGISTRY.get_sample_value(name, {"database": "swap"}) or 0.0


@when("one probe of the primary is lost")
def one_probe(context: Context) -> None:
    """Swallow one probe."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        context.alarms = false_alarms()
        world.members[A].swallowed.append("/status")
        await sleep(3)

    play(context, script)


@then("the primary stays and one false alarm is counted")
def stays(context: Context) -> None:
    """Check the term and the metric."""
    assert in_force(context.world).address == A
    assert false_alarms() - context.alarms == 1
    assert not context.world.ran("prepare")


@when("the primary refuses connections while a claim is sent")
def refuses(context: Context) -> None:
    """Refuse, although the replicas still hear the primary."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        world.members[A].is_refusing = True
        context.failed_at = current_time()
        await world.ask("claim")

    play(context, script)


@when("the primary fails with a claim in flight")
def in_flight(context: Context) -> None:
    """Fail the primary before the claim arrives at it."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        context.failed_at = current_time()
        fail_primary(world)
        await world.ask("claim", deadline=20)

    play(context, script)


@then("the claim is acknowledged within {seconds:g} s of the owner's clock")
def in_time(context: Context, seconds: float) -> None:
    """Check the reply and its time on the mock clock."""
    [reply] = context.world.replies["claim"]
    assert reply.is_ok() and reply.ok.served_by != A, reply
    taken = context.world.replied_at["claim"] - context.failed_at
    assert taken < seconds, taken


@when("a request is sent to a seat that is not active")
def passive(context: Context) -> None:
    """Ask an owner whose seat is not the first live one."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner(is_active=False, settle=3)
        probes = len(world.ran("status"))
        assert probes <= 3 * 5, probes
        await world.ask("claim")

    play(context, script)


@then("it is answered")
def answered(context: Context) -> None:
    """Check the reply."""
    [reply] = context.world.replies["claim"]
    assert reply.is_ok() and reply.ok.position > Position(1024, 1)
