"""Steps for withdrawals while some instances are partitioned."""

from behave import then, when
from behave.runner import Context
from features.fakes.withdrawal_schedules import check_withdrawal_cuts
from features.fakes.withdrawn_check import check_withdrawn, refuses_key

from jackdawspread.decisions.control.control_decision import decide
from jackdawspread.messages.key_withdrawal import KeyWithdrawal
from jackdawspread.messages.key_withdrawal_answer import KeyWithdrawalAnswer
from jackdawspread.messages.peer_message_received import PeerMessageReceived


@when('"{name}" cannot reach its peers')
def cut_from_peers(context: Context, name: str) -> None:
    context.fleet.cut_pairs |= {frozenset({name, other}) for other in "abcdef"}


@when("{names} cannot reach the platform")
def cut_from_platform(context: Context, names: str) -> None:
    context.fleet.cut_from_platform |= set(names.replace('"', "").split(", "))


@when('"{name}" receives only heartbeat answers')
def receive_answers_only(context: Context, name: str) -> None:
    context.fleet.answers_only.add(name)


@when("the platform shows the next view")
def next_view(context: Context) -> None:
    fleet = context.fleet
    end = fleet.now + 3
    while fleet.platform.rows["view"]["value"]["epoch"] == context.epoch:
        fleet.run(0.001)
        assert fleet.now < end


@then(
    'for {seconds:g} s no authority accepts "{key}" 3 s after it was reported in force'
)
def no_authority_accepts(context: Context, seconds: float, key: str) -> None:
    context.fleet.run(seconds, lambda fleet: check_withdrawn(fleet, key))


@then('"{name}" does not confirm the withdrawal of "{key}" in its epoch')
def confirms_not(context: Context, name: str, key: str) -> None:
    fleet = context.fleet
    event = PeerMessageReceived("a", KeyWithdrawal(key, key))
    state, effects = decide(fleet.state_by_name[name], event, fleet.now)
    answers = [e.message for e in effects if hasattr(e, "message")]
    epochs = [m.epoch for m in answers if isinstance(m, KeyWithdrawalAnswer)]
    assert epochs == [0], answers
    assert key in state.withdrawal_by_key_id


@then('the platform shows "{key}" as withdrawn at the same time')
def stored_with_view(context: Context, key: str) -> None:
    value = context.fleet.platform.rows["configuration"]["value"]
    assert value["key_by_id"][key]["withdrawn"], value


@then('"{name}" refuses "{key}"')
def one_refuses(context: Context, name: str, key: str) -> None:
    assert refuses_key(context.fleet, name, key)


@then("a withdrawn key is accepted in none of 80 schedules of partitions")
def withdrawal_partitions(context: Context) -> None:
    check_withdrawal_cuts()
