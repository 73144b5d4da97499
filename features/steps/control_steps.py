"""Steps for the control side."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.control_fleet import ControlFleet
from features.fakes.fault_schedules import check_random_schedules

from jackdawspread.decisions.control_decision import decide
from jackdawspread.decisions.first_configuration import first_configuration
from jackdawspread.decisions.heartbeats import hear
from jackdawspread.decisions.views import adopt_view, settle_views
from jackdawspread.messages.add_key import AddKey
from jackdawspread.messages.admin_answer import AdminAnswer
from jackdawspread.messages.configuration_push import ConfigurationPush
from jackdawspread.messages.create_workspace import CreateWorkspace
from jackdawspread.messages.heartbeat import Heartbeat
from jackdawspread.messages.heartbeat_answer import HeartbeatAnswer
from jackdawspread.messages.lost_race import LostRace
from jackdawspread.messages.peer_received import PeerReceived
from jackdawspread.messages.planned_stop import PlannedStop
from jackdawspread.messages.select_preset import SelectPreset
from jackdawspread.messages.view import View
from jackdawspread.messages.view_change_request import ViewChangeRequest
from jackdawspread.messages.withdraw_key import WithdrawKey


@given("4 instances with seed {seed:d} that have run for {seconds:g} s")
def start(context: Context, seed: int, seconds: float) -> None:
    context.fleet = ControlFleet(seed)
    for name in "abcd":
        context.fleet.start(name)
    context.fleet.run(seconds)
    context.epoch = context.fleet.state_by_name["a"].view.epoch
    context.incarnation = context.fleet.state_by_name["a"].incarnation


@given('a key "{key}" of workspace "{workspace}"')
def add_key(context: Context, key: str, workspace: str) -> None:
    for id, change in (
        ("workspace", CreateWorkspace(workspace)),
        ("key", AddKey(key, workspace)),
    ):
        context.fleet.ask("b", change, id)
        context.fleet.run(3)
        outcome = context.fleet.result_by_id[id].outcome
        assert isinstance(outcome, AdminAnswer), outcome


@when("{seconds:g} s pass")
def wait(context: Context, seconds: float) -> None:
    context.fleet.run(seconds)


@when('the answers to the writes of "{name}" are lost')
def lose(context: Context, name: str) -> None:
    context.fleet.losing_answers.add(name)


@when('"a" is asked at the same time to select "{first}" and "b" to select "{second}"')
def race(context: Context, first: str, second: str) -> None:
    context.fleet.ask("a", SelectPreset(first), first)
    context.fleet.ask("b", SelectPreset(second), second)


@then("one operator was told of the success and the other got both versions")
def one_won(context: Context) -> None:
    results = context.fleet.result_by_id
    won = [id for id, r in results.items() if isinstance(r.outcome, AdminAnswer)]
    lost = [r.outcome for r in results.values() if isinstance(r.outcome, LostRace)]
    assert len(won) == len(lost) == 1, results
    context.won = won[0]
    assert lost[0].current["preset"] == won[0] != lost[0].yours["preset"]


@then("the preset of the successful operator is in force on every instance")
def winner_in_force(context: Context) -> None:
    in_force(context, context.won)


@then('the preset "{preset}" is in force on every instance')
def in_force(context: Context, preset: str) -> None:
    states = context.fleet.state_by_name.values()
    found = [state.configuration["preset"] for state in states]
    assert found == [preset] * 4, found


@then("no instance ever went back to an older configuration")
def never_back(context: Context) -> None:
    for name, seen in context.fleet.preset_history.items():
        versions = [version for version, _ in seen]
        assert versions == sorted(set(versions)), (name, seen)
    presets: dict[int, str] = {}
    for seen in context.fleet.preset_history.values():
        for version, preset in seen:
            assert presets.setdefault(version, preset) == preset, version


@when("the platform is down for {seconds:g} s")
def platform_down(context: Context, seconds: float) -> None:
    context.fleet.platform.is_up = False
    context.fleet.run(seconds)


@when("the platform is up again for {seconds:g} s")
def platform_up(context: Context, seconds: float) -> None:
    context.fleet.platform.is_up = True
    context.fleet.run(seconds)


@when('"{name}" is asked to withdraw "{key}"')
def withdraw(context: Context, name: str, key: str) -> None:
    context.fleet.ask(name, WithdrawKey(key), "withdraw")


@when('"{name}" is asked to select "{preset}"')
def select(context: Context, name: str, preset: str) -> None:
    context.fleet.ask(name, SelectPreset(preset), "select")


@when('"{name}" is asked to stop')
def stop(context: Context, name: str) -> None:
    context.fleet.deliver(name, PlannedStop())


@then("the change is refused with code {code} and ran {ran}")
def change_refused(context: Context, code: str, ran: str) -> None:
    outcome = context.fleet.result_by_id["select"].outcome
    assert (outcome.code, outcome.ran) == (code, ran), outcome


@then('the withdrawal is answered with state "{state}" and is not stored')
def withdrawal_answer(context: Context, state: str) -> None:
    body = context.fleet.result_by_id["withdraw"].outcome.body
    assert (body["state"], body["stored"]) == (state, False), body
    assert "a" in body["confirmed_by"], body


@then('every instance refuses "{key}"')
def refuses(context: Context, key: str) -> None:
    for name, state in context.fleet.state_by_name.items():
        assert key in state.withdrawal_by_key_id, name


@then('the platform shows "{key}" as withdrawn')
def stored(context: Context, key: str) -> None:
    value = context.fleet.platform.rows["configuration"]["value"]
    assert value["key_by_id"][key]["withdrawn"], value
    assert all(
        not state.withdrawal_by_key_id for state in context.fleet.state_by_name.values()
    )


@when('"{name}" is isolated')
def isolate(context: Context, name: str) -> None:
    context.fleet.isolate(name)


@when("everything heals")
def heal(context: Context) -> None:
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


@then("the instances made no call but those to the table")
def only_table(context: Context) -> None:
    targets = context.fleet.platform.targets
    assert targets == {"/table/read", "/table/transact"}, targets


@when("6 changes of preset are made one after the other on different instances")
def six_changes(context: Context) -> None:
    presets = ["peak", "ordinary", "maintenance"] * 2
    for number, (name, preset) in enumerate(zip("abcdab", presets, strict=True)):
        context.fleet.ask(name, SelectPreset(preset), f"change{number}")
        context.fleet.run(2)
        outcome = context.fleet.result_by_id[f"change{number}"].outcome
        assert isinstance(outcome, AdminAnswer), outcome


@when('"{name}" gets a push of the oldest configuration')
def old_push(context: Context, name: str) -> None:
    push = ConfigurationPush(first_configuration())
    context.fleet.deliver(name, PeerReceived("b", push))


@when('"{name}" is asked by "{other}" to promise a change of the view')
def ask_promise(context: Context, name: str, other: str) -> None:
    state = context.fleet.state_by_name[other]
    request = ViewChangeRequest(state.incarnation, state.view.epoch)
    context.fleet.deliver(name, PeerReceived(other, request))


@then('"{name}" {verb} vouch for "{other}"')
def vouches(context: Context, name: str, verb: str, other: str) -> None:
    fleet, asker = context.fleet, context.fleet.state_by_name[other]
    heartbeat = Heartbeat(asker.incarnation, asker.view.epoch, 1, 1)
    event = PeerReceived(other, heartbeat)
    _, effects = decide(fleet.state_by_name[name], event, fleet.now)
    answers = [e.message for e in effects if isinstance(e.message, HeartbeatAnswer)]
    expected = asker.view.epoch if verb == "does" else 0
    assert [answer.vouched_epoch for answer in answers] == [expected], answers


@when('"{name}" gets {count:d} vouches that were asked for {seconds:g} s ago')
def late_vouches(context: Context, name: str, count: int, seconds: float) -> None:
    fleet, state = context.fleet, context.fleet.state_by_name[name]
    asked = {1: fleet.now - seconds}
    state = state._replace(asked_at_by_sequence=asked, vouched_at_by_incarnation={})
    fleet.state_by_name[name] = state
    others = [n for n in state.view.member_by_incarnation if n != state.incarnation]
    epoch = state.view.epoch
    for other in others[:count]:
        answer = HeartbeatAnswer(other, epoch, epoch, 1, 1)
        fleet.deliver(name, PeerReceived(other[0], answer))


@then('"{name}" has less than {seconds:g} s of authority left')
def authority_left(context: Context, name: str, seconds: float) -> None:
    left = context.fleet.authority_left(name)
    assert 0 < left < seconds, left


@when('"{name}" is shown a view two epochs later in which it hears everyone')
def skipped_epoch(context: Context, name: str) -> None:
    fleet, state = context.fleet, context.fleet.state_by_name[name]
    members = state.view.member_by_incarnation
    later = View(state.view.epoch + 2, members)
    state, _ = adopt_view(state, later, fleet.now)
    for other in members:
        state = hear(state, other, later.epoch, fleet.now)
    context.alone = settle_views(state, fleet.now)


@when('{seconds:g} s pass on "a" alone')
def alone(context: Context, seconds: float) -> None:
    context.alone = settle_views(context.alone, context.fleet.now + seconds)


@then('"a" {verb} settled the view')
def settled(context: Context, verb: str) -> None:
    assert (len(context.alone.views) == 1) == (verb == "has"), context.alone.views
