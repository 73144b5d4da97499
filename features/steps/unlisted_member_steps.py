"""Steps for replicas that confirm commits before their entry is in the list."""

from time import monotonic, sleep

from behave import given, then, when
from behave.runner import Context
from features.wire.replicated_member import ReplicatedMember

# Bounds a hang only.
TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
# An instance compares the roster with each list, about once a second.
ROSTER_COMPARED_S = 1.5
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


@given("a fourth member is recorded")
def fourth_member(context: Context) -> None:
    """Two listed replicas remain when its entry lapses."""
    fleet = context.fleet
    context.lapsed = fleet.wait(fleet.group.join)
    _wait_for_roster(context, "listed=4 departed=0")


@when("its entry lapses for {seconds:g} s")
def lapse(context: Context, seconds: float) -> None:
    """The replica goes on, and rosters are compared with lists without it."""
    fleet, member = context.fleet, context.lapsed
    _wait_for_lines(context, f"added={member.id}@")
    fleet.run(fleet.group.entries.lapse, member.id, seconds)
    _wait_for_lines(context, f"removed={member.id} ")
    sleep(ROSTER_COMPARED_S)


@when("the other replicas receive nothing")
def cut_others(context: Context) -> None:
    """Wait until callers know of commits that only the lapsed replica has confirmed."""
    primary, *others, _ = context.fleet.group.running
    _cut(context, primary, others)


@then("the replica whose entry lapsed leads")
def lapsed_leads(context: Context) -> None:
    """Only its log was complete."""
    leader = context.fleet.group.leader
    assert leader is context.lapsed, f"{leader.id} leads, not {context.lapsed.id}"


@when("a replica joins that gets its entry after {seconds:g} s")
def join_with_others(context: Context, seconds: float) -> None:
    """The other replicas receive too."""
    context.fleet.wait(context.fleet.group.join, seconds)


@when("the store is back")
def store_back(context: Context) -> None:
    """Members write their entries again somewhat later."""
    context.fleet.wait(context.fleet.store.wait_until_up, timeout_s=TIMEOUT_S)


@then("the replica that joined leads")
def leads(context: Context) -> None:
    """Only its log was complete."""
    leader = context.fleet.group.leader
    assert leader is context.joined, f"{leader.id} leads, not {context.joined.id}"


def _join_alone(context: Context, entry_delay_s: float) -> None:
    fleet = context.fleet
    primary, *others = fleet.group.running
    context.joined = fleet.wait(fleet.group.join, entry_delay_s)
    _cut(context, primary, others)


def _cut(
    context: Context, primary: ReplicatedMember, others: list[ReplicatedMember]
) -> None:
    fleet = context.fleet
    for other in others:
        fleet.run(fleet.links.cut, primary.id, other.id)
    fleet.wait(fleet.ledger.wait_for_acknowledged, ACKNOWLEDGED, timeout_s=TIMEOUT_S)


def _wait_for_lines(context: Context, text: str) -> None:
    """Wait until each instance has logged a text."""
    fleet = context.fleet
    deadline = monotonic() + TIMEOUT_S
    while len(fleet.log_lines(text)) < len(fleet.names):
        assert monotonic() < deadline, f"not logged by every instance: {text}"
        sleep(POLL_INTERVAL_S)


def _wait_for_roster(context: Context, text: str) -> None:
    """Wait until the newest record of the roster is of this kind."""
    deadline = monotonic() + TIMEOUT_S
    while True:
        lines = context.fleet.log_lines("succession: roster")
        if lines and text in lines[-1]:
            return
        assert monotonic() < deadline, f"no roster with {text}"
        sleep(POLL_INTERVAL_S)
