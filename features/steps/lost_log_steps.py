"""Steps for replicas that start again without their log."""

from behave import then, when
from behave.runner import Context
from features.wire.end_run import end_run
from trio import open_nursery, sleep

# Bounds a hang only.
TIMEOUT_S = 30.0
ACKNOWLEDGED = 30


@when("only one replica receives and callers get further answers")
def receives_alone(context: Context) -> None:
    """Wait for commits that only this replica has confirmed."""
    fleet = context.fleet
    context.crashed, context.replica, other = fleet.group.running
    fleet.run(fleet.links.cut, context.crashed.id, other.id)
    fleet.wait(fleet.ledger.wait_for_acknowledged, ACKNOWLEDGED, timeout_s=TIMEOUT_S)


@when("this replica starts again without its log as the primary crashes")
def crash_both(context: Context) -> None:
    """The primary keeps its log."""
    group = context.fleet.group

    async def crash() -> None:
        async with open_nursery() as nursery:
            nursery.start_soon(group.crash, context.crashed)
            nursery.start_soon(group.restart_empty, context.replica)

    context.fleet.spawn(crash)


@when("the primary is back after {seconds:g} s")
def back(context: Context, seconds: float) -> None:
    """Start the primary at its address."""
    fleet = context.fleet

    async def restart() -> None:
        await sleep(seconds)
        await fleet.group.restart(context.crashed)

    fleet.wait(restart, timeout_s=TIMEOUT_S)


@then("callers can write again and every acknowledged write is in the log")
def check(context: Context) -> None:
    """No promotion has to take effect."""
    end_run(context.fleet)


@when("the requested replica starts again without its log")
def requested_restarts(context: Context) -> None:
    """Its call is still to be executed."""
    fleet = context.fleet
    requested = fleet.group.member_by_id[fleet.promotions.requests[-1].member]
    fleet.wait(fleet.group.restart_empty, requested, timeout_s=TIMEOUT_S)
