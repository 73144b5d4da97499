"""Steps for replicas that confirm commits before their entry is in the list."""

from time import monotonic, sleep

from behave import given, then, when
from behave.runner import Context

# Bounds a hang only.
TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
ACKNOWLEDGED = 30


@given("every instance has a permit to acknowledge commits")
def permits(context: Context) -> None:
    """Without one it verifies commits at the listed members."""
    _wait_for_lines(context, "permit regained")


@when("the store is away for {seconds:g} s")
def store_away(context: Context, seconds: float) -> None:
    """Let it refuse all calls, and return later."""
    fleet = context.fleet
    fleet.spawn(fleet.group.entries.stop_store, seconds)


@when("a replica joins and the other replicas receive nothing")
def join_alone(context: Context) -> None:
    """Wait until callers know of commits that only the new replica has confirmed."""
    _join_alone(context, entry_delay_s=0.0)


@when(
    "a replica joins that gets its entry after {seconds:g} s and the others receive "
    "nothing"
)
def join_late(context: Context, seconds: float) -> None:
    """The store is reachable."""
    _join_alone(context, seconds)


@when("a replica joins and its entry expires")
def join_and_expire(context: Context) -> None:
    """It can't reach the store any more, and goes on confirming."""
    fleet = context.fleet
    joined = fleet.wait(fleet.group.join)
    _wait_for_lines(context, f"added={joined.id}@")
    fleet.run(fleet.group.entries.expire, joined.id)
    _wait_for_lines(context, f"removed={joined.id}")


@when("the store is back")
def store_back(context: Context) -> None:
    """Members write their entries again somewhat later."""
    context.fleet.wait(context.fleet.store.wait_until_up, timeout_s=TIMEOUT_S)


@then("the replica that joined leads")
def leads(context: Context) -> None:
    """Only its log was complete."""
    leader = context.fleet.group.leader
    assert leader is context.joined, f"{leader.id} leads, not {context.joined.id}"


def _wait_for_lines(context: Context, text: str) -> None:
    """Wait until each instance has logged a text."""
    fleet = context.fleet
    deadline = monotonic() + TIMEOUT_S
    while len(fleet.log_lines(text)) < len(fleet.names):
        assert monotonic() < deadline, f"not logged by every instance: {text}"
        sleep(POLL_INTERVAL_S)


def _join_alone(context: Context, entry_delay_s: float) -> None:
    fleet = context.fleet
    primary, *others = fleet.group.running
    context.joined = fleet.wait(fleet.group.join, entry_delay_s)
    for other in others:
        fleet.run(fleet.links.cut, primary.id, other.id)
    fleet.wait(fleet.ledger.wait_for_acknowledged, ACKNOWLEDGED, timeout_s=TIMEOUT_S)
