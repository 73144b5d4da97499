"""Steps for promotions that take effect late, with instances as processes."""

from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when
from behave.runner import Context
from features.wire.process_fleet import ProcessFleet

# Bounds a hang only. A request whose answer was lost may block a group for about 35 s.
PROGRESS_TIMEOUT_S = 90.0
OUTCOMES = 150
ACKNOWLEDGED_AT_END = 30


@given("three instance processes, three members and callers that write")
def fleet(context: Context) -> None:
    """Start everything; m1 is the primary."""
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.fleet = ProcessFleet(Path(folder.name))
    context.add_cleanup(context.fleet.close)
    context.fleet.start()


@given("promotion calls are executed late and their answers are lost")
def late_calls(context: Context) -> None:
    """Hold calls until they are released."""
    context.fleet.promotions.is_late = True


@when("the primary crashes and its replacement is requested")
def crash(context: Context) -> None:
    """Wait until the call has reached the platform."""
    fleet = context.fleet
    context.crashed = fleet.group.leader
    fleet.spawn(fleet.group.crash, context.crashed)
    _wait(context, fleet.promotions.wait_for_request)


@when("the primary returns under another id")
def restart(context: Context) -> None:
    """Start it with its log at its address."""
    _wait(context, context.fleet.group.restart, context.crashed)


@when("a replica joins")
def join(context: Context) -> None:
    """Start a replica that nobody has paused."""
    _wait(context, context.fleet.group.join)


@when("callers get further answers")
def further_answers(context: Context) -> None:
    """Wait for answers of any kind."""
    _wait(context, context.fleet.ledger.wait_for_outcomes, OUTCOMES)


@when("the calls are executed")
def release(context: Context) -> None:
    """Execute the calls that were held."""
    context.fleet.run(context.fleet.promotions.release)


@then("callers can write again and no acknowledged write is lost")
def check(context: Context) -> None:
    """Check all promotions and the log at the end."""
    fleet = context.fleet
    fleet.run(fleet.links.restore_all)
    _wait(context, fleet.ledger.wait_for_acknowledged, ACKNOWLEDGED_AT_END)
    faults = fleet.finish()
    assert not faults, "\n".join([*faults, *fleet.log_lines("succession:", "acknow")])
    assert fleet.checker.promotions, "no promotion took effect"


def _wait(context: Context, function, *args) -> None:
    context.fleet.wait(function, *args, timeout_s=PROGRESS_TIMEOUT_S)
