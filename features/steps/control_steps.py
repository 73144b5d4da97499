"""Steps for the control decisions of several instances."""

import subprocess
import sys

from behave import given, then, when
from behave.runner import Context
from features.fakes.control_fleet import CONNECTIONS, ControlFleet
from features.fakes.fault_schedules import check_random_schedules

from jackdawspread.decisions.control.control_decision import decide
from jackdawspread.decisions.control.heartbeats import record_contact
from jackdawspread.decisions.control.owner_assignments import owner_assignment
from jackdawspread.decisions.control.views import adopt_view, settle_views
from jackdawspread.messages.begin_shutdown import BeginShutdown
from jackdawspread.messages.heartbeat import Heartbeat
from jackdawspread.messages.heartbeat_answer import HeartbeatAnswer
from jackdawspread.messages.leave_view import LeaveView
from jackdawspread.messages.peer_message_received import PeerMessageReceived
from jackdawspread.messages.view import View
from jackdawspread.messages.view_change_request import ViewChangeRequest


@given("{number:d} instances with seed {seed:d} that have run for {seconds:g} s")
def start(context: Context, number: int, seed: int, seconds: float) -> None:
    context.fleet = ControlFleet(seed)
    for name in "abcd"[:number]:
        context.fleet.start(name)
    context.fleet.run(seconds)
    context.epoch = context.fleet.state_by_name["a"].view.epoch
    context.incarnation = context.fleet.state_by_name["a"].incarnation


@when("{seconds:g} s pass")
def wait(context: Context, seconds: float) -> None:
    context.fleet.run(seconds)


@when("the platform is down for {seconds:g} s")
def platform_down(context: Context, seconds: float) -> None:
    context.fleet.platform.is_up = False
    context.fleet.run(seconds)


@when("the platform is up again for {seconds:g} s")
def platform_up(context: Context, seconds: float) -> None:
    context.fleet.platform.is_up = True
    context.fleet.run(seconds)


@when('"{name}" begins a graceful shutdown')
def begin_shutdown(context: Context, name: str) -> None:
    context.fleet.deliver(name, BeginShutdown())


@when('"{name}" is isolated')
def isolate(context: Context, name: str) -> None:
    context.fleet.isolate(name)


@when("all faults end")
def end_faults(context: Context) -> None:
    context.fleet.heal()


@when('"{name}" is killed')
def kill(context: Context, name: str) -> None:
    context.fleet.kill(name)


@when("every instance is killed and started again")
def restart(context: Context) -> None:
    for name in "abcd":
        context.fleet.kill(name)
    for name in "abcd":
        context.fleet.start(name)


@when('"{name}" is paused for {seconds:g} s')
def pause(context: Context, name: str, seconds: float) -> None:
    context.fleet.pause(name)
    context.fleet.run(seconds)


@when('"{name}" wakes')
def wake(context: Context, name: str) -> None:
    context.fleet.wake(name)


@then('"{name}" has no authority')
def no_authority(context: Context, name: str) -> None:
    assert not context.fleet.has_authority(name)


@then("{names} have authority")
def authority(context: Context, names: str) -> None:
    for name in names.replace('"', "").split(", "):
        assert context.fleet.has_authority(name), name


@then("the view has epoch unchanged")
def epoch_unchanged(context: Context) -> None:
    for state in context.fleet.state_by_name.values():
        assert state.view.epoch == context.epoch


@then("the view has {members:d} members")
def view_members(context: Context, members: int) -> None:
    for name, state in context.fleet.state_by_name.items():
        if not state.is_leaving:
            assert len(state.view.member_by_incarnation) == members, name


@then('the view has 4 members and "a" has a new incarnation')
def rejoined(context: Context) -> None:
    view_members(context, 4)
    state = context.fleet.state_by_name["a"]
    assert state.is_member and state.incarnation != context.incarnation


@then("no random schedule of faults makes shares or connections overlap")
def random_schedules(context: Context) -> None:
    check_random_schedules()


@then("the instances have called only the table service")
def only_table(context: Context) -> None:
    targets = context.fleet.platform.targets
    assert targets == {"/table/read", "/table/transact"}, targets


@when('"{name}" is asked by "{other}" to promise a change of the view')
def ask_promise(context: Context, name: str, other: str) -> None:
    state = context.fleet.state_by_name[other]
    request = ViewChangeRequest(state.incarnation, state.view.epoch)
    context.fleet.deliver(name, PeerMessageReceived(other, request))


@then('"{name}" {verb} vote for "{other}"')
def votes(context: Context, name: str, verb: str, other: str) -> None:
    fleet, candidate = context.fleet, context.fleet.state_by_name[other]
    heartbeat = Heartbeat(candidate.incarnation, candidate.view.epoch, 1, 1)
    event = PeerMessageReceived(other, heartbeat)
    _, effects = decide(fleet.state_by_name[name], event, fleet.now)
    answers = [e.message for e in effects if isinstance(e.message, HeartbeatAnswer)]
    expected = candidate.view.epoch if verb == "does" else 0
    assert [answer.voted_epoch for answer in answers] == [expected], answers


@when('"{name}" gets {count:d} votes for a heartbeat sent {seconds:g} s ago')
def late_votes(context: Context, name: str, count: int, seconds: float) -> None:
    fleet, state = context.fleet, context.fleet.state_by_name[name]
    sent_at = {1: fleet.now - seconds}
    state = state._replace(sent_at_by_sequence=sent_at, voted_at_by_incarnation={})
    fleet.state_by_name[name] = state
    others = [n for n in state.view.member_by_incarnation if n != state.incarnation]
    epoch = state.view.epoch
    for other in others[:count]:
        answer = HeartbeatAnswer(other, epoch, epoch, 1, 1)
        fleet.deliver(name, PeerMessageReceived(other[0], answer))


@then('"{name}" has less than {seconds:g} s of authority left')
def authority_left(context: Context, name: str, seconds: float) -> None:
    left = context.fleet.authority_left(name)
    assert 0 < left < seconds, left


@when('"{name}" adopts a view two epochs later and has contact with every member')
def skipped_epoch(context: Context, name: str) -> None:
    fleet, state = context.fleet, context.fleet.state_by_name[name]
    members = state.view.member_by_incarnation
    later = View(state.view.epoch + 2, members)
    state, _ = adopt_view(state, later, fleet.now)
    for other in members:
        state = record_contact(state, other, later.epoch, fleet.now)
    context.alone = settle_views(state, fleet.now)


@when('{seconds:g} s pass on "a" alone')
def alone(context: Context, seconds: float) -> None:
    context.alone = settle_views(context.alone, context.fleet.now + seconds)


@then('"a" {verb} settled the view')
def settled(context: Context, verb: str) -> None:
    assert (len(context.alone.views) == 1) == (verb == "has"), context.alone.views


@then("the control decisions import neither trio nor a codec")
def pure_imports(context: Context) -> None:
    code = (
        "import sys, jackdawspread.decisions.control.control_decision\n"
        "names = {name.split('.')[0] for name in sys.modules}\n"
        "assert not names & {'trio', 'h11', 'msgspec', 'absl'}, names"
    )
    subprocess.run([sys.executable, "-c", code], check=True)


@when('"{name}" may leave the view')
def leave(context: Context, name: str) -> None:
    context.fleet.deliver(name, LeaveView())


def active_owners(context: Context, database: str) -> list[str]:
    """Return the instances that are active owners of a database."""
    fleet = context.fleet
    return [
        name
        for name, state in fleet.state_by_name.items()
        if owner_assignment(state, database, fleet.now).is_active
    ]


@then('"{name}" is an active owner nowhere and "a" has authority')
def no_active_ownership(context: Context, name: str) -> None:
    for database in CONNECTIONS:
        assert name not in active_owners(context, database), database
    assert context.fleet.has_authority(name)


@then("every database has one active owner")
def one_active_owner(context: Context) -> None:
    for database in CONNECTIONS:
        assert len(active_owners(context, database)) == 1, database
