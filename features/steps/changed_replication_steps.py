"""Steps for changes of a group's replication and of its routes."""

from behave import given, when
from behave.runner import Context
from features.wire.configuration_edits import move_route
from features.wire.end_run import PROGRESS_TIMEOUT_S
from trio import sleep

ACKNOWLEDGED = 60


@given("the group is asynchronous")
def asynchronous(context: Context) -> None:
    """Wait until the instances have served some writes without replicas."""
    _change(context, sync_replicas=0)
    context.fleet.wait(
        context.fleet.ledger.wait_for_acknowledged,
        ACKNOWLEDGED,
        timeout_s=PROGRESS_TIMEOUT_S,
    )


@when("the group is synchronous")
def synchronous(context: Context) -> None:
    """Commits wait for a replica from now on."""
    _change(context, sync_replicas=1)


@when("the routes lead to another group for {seconds:g} s")
def moved(context: Context, seconds: float) -> None:
    """Restore them after that time."""
    fleet = context.fleet
    previous, configuration = fleet.configuration, fleet.configuration
    move_route(configuration, "")

    async def move() -> None:
        fleet.configure(configuration)
        await sleep(seconds)
        fleet.configure(previous)

    fleet.wait(move, timeout_s=PROGRESS_TIMEOUT_S)


def _change(context: Context, sync_replicas: int) -> None:
    fleet = context.fleet

    def change() -> None:
        configuration = fleet.configuration
        configuration["Services"][0]["SyncReplicas"] = sync_replicas
        fleet.configure(configuration)
        fleet.group.sync_replicas = sync_replicas
        fleet.group.notify()

    fleet.run(change)
    fleet.wait(
        fleet.ledger.wait_for_acknowledged, ACKNOWLEDGED, timeout_s=PROGRESS_TIMEOUT_S
    )
