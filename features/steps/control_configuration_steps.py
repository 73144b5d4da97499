"""Steps for configuration and withdrawals across instances."""

from behave import given, then, when
from behave.runner import Context

from jackdawspread.decisions.control.initial_configuration import initial_configuration
from jackdawspread.messages.add_key import AddKey
from jackdawspread.messages.admin_answer import AdminAnswer
from jackdawspread.messages.configuration_push import ConfigurationPush
from jackdawspread.messages.create_workspace import CreateWorkspace
from jackdawspread.messages.lost_race import LostRace
from jackdawspread.messages.peer_message_received import PeerMessageReceived
from jackdawspread.messages.select_preset import SelectPreset
from jackdawspread.messages.withdraw_key import WithdrawKey


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


@when('the answers to the writes of "{name}" are lost')
def lose_answers(context: Context, name: str) -> None:
    context.fleet.losing_answers.add(name)


@when('"a" is asked at the same time to select "{first}" and "b" to select "{second}"')
def select_concurrently(context: Context, first: str, second: str) -> None:
    context.fleet.ask("a", SelectPreset(first), first)
    context.fleet.ask("b", SelectPreset(second), second)


@then("one operator gets a success and the other one both versions")
def one_success(context: Context) -> None:
    results = context.fleet.result_by_id
    won = [id for id, r in results.items() if isinstance(r.outcome, AdminAnswer)]
    lost = [r.outcome for r in results.values() if isinstance(r.outcome, LostRace)]
    assert len(won) == len(lost) == 1, results
    context.won = won[0]
    assert lost[0].current["preset"] == won[0] != lost[0].yours["preset"]


@then("the preset of the successful operator is active on every instance")
def winning_preset_active(context: Context) -> None:
    preset_active(context, context.won)


@then('the preset "{preset}" is active on every instance')
def preset_active(context: Context, preset: str) -> None:
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


@when('"{name}" is asked to withdraw "{key}"')
def withdraw(context: Context, name: str, key: str) -> None:
    context.fleet.ask(name, WithdrawKey(key), "withdraw")


@when('"{name}" is asked to select "{preset}"')
def select(context: Context, name: str, preset: str) -> None:
    context.fleet.ask(name, SelectPreset(preset), "select")


@then("the change is refused with code {code} and ran {ran}")
def change_refused(context: Context, code: str, ran: str) -> None:
    outcome = context.fleet.result_by_id["select"].outcome
    assert (outcome.code, outcome.ran) == (code, ran), outcome


@then('the withdrawal is answered with state "{state}" and {verb} stored')
def withdrawal_answer(context: Context, state: str, verb: str) -> None:
    body = context.fleet.result_by_id["withdraw"].outcome.body
    assert (body["state"], body["stored"]) == (state, verb == "is"), body
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


@when("6 changes of preset are made one after the other on different instances")
def six_changes(context: Context) -> None:
    _select_presets(context, "abcdab", ["peak", "ordinary", "maintenance"] * 2)


@when('"{name}" selects peak, ordinary and maintenance one after the other')
def three_changes(context: Context, name: str) -> None:
    _select_presets(context, 3 * name, ["peak", "ordinary", "maintenance"])


def _select_presets(context: Context, names: str, presets: list[str]) -> None:
    for number, (name, preset) in enumerate(zip(names, presets, strict=True)):
        context.fleet.ask(name, SelectPreset(preset), f"change{number}")
        context.fleet.run(2)
        outcome = context.fleet.result_by_id[f"change{number}"].outcome
        assert isinstance(outcome, AdminAnswer), outcome


@when('"{name}" gets a push of the oldest configuration')
def old_push(context: Context, name: str) -> None:
    push = ConfigurationPush(initial_configuration())
    context.fleet.deliver(name, PeerMessageReceived("b", push))


@when('"a" is asked to select "{preset}" while it cannot reach its peers')
def select_alone(context: Context, preset: str) -> None:
    context.fleet.cut_pairs = {frozenset({"a", other}) for other in "bcd"}
    context.fleet.ask("a", SelectPreset(preset), "alone")
    while "alone" not in context.fleet.result_by_id:
        context.fleet.run(0.01)
    assert context.fleet.state_by_name["b"].configuration["version"] == 1
    context.fleet.heal()


@when('"{name}" is asked to select "{preset}" with expected version {version:d}')
def select_expected(context: Context, name: str, preset: str, version: int) -> None:
    context.fleet.ask(name, SelectPreset(preset), "expected", version)
