"""Steps for views of epochs that an instance has skipped."""

from random import Random

from behave import then, when
from behave.runner import Context
from features.fakes.fault_schedules import check_overlap

from jackdawspread.decisions.control.authority import authority_deadline
from jackdawspread.decisions.control.control_decision import decide
from jackdawspread.decisions.control.heartbeats import record_contact
from jackdawspread.decisions.control.views import (
    adopt_view,
    decode_views,
    encode_view,
    settle_views,
)
from jackdawspread.decisions.rates.rate_share import rate_share
from jackdawspread.messages.leave_view import LeaveView
from jackdawspread.messages.peer_message_received import PeerMessageReceived
from jackdawspread.messages.view import View
from jackdawspread.messages.view_change_request import ViewChangeRequest
from jackdawspread.messages.view_member import ViewMember


@when('"{name}" is started')
def start_one(context: Context, name: str) -> None:
    context.fleet.start(name)


@when('"{name}" is connected again')
def connect(context: Context, name: str) -> None:
    fleet = context.fleet
    fleet.cut_from_platform.discard(name)
    kept = {pair for pair in fleet.cut_pairs if name not in pair or "c" in pair}
    fleet.cut_pairs = kept


@when('"{name}" leaves the view and is isolated when the platform shows it')
def leave_unseen(context: Context, name: str) -> None:
    fleet = context.fleet
    epoch = fleet.platform.rows["view"]["value"]["epoch"]
    fleet.losing_answers.add(name)
    fleet.deliver(name, LeaveView())
    while fleet.platform.rows["view"]["value"]["epoch"] == epoch:
        fleet.run(0.001)
    fleet.isolate(name)
    assert fleet.state_by_name[name].view.epoch == epoch
    assert fleet.has_authority(name)


@then("the shares stay within the total for {seconds:g} s")
def shares_hold(context: Context, seconds: float) -> None:
    context.fleet.run(seconds, check_overlap)


@when('"{name}" adopts a view 20 epochs later from a row with 16 epochs')
def late_view(context: Context, name: str) -> None:
    fleet, state = context.fleet, context.fleet.state_by_name[name]
    members = state.view.member_by_incarnation
    later = [View(state.view.epoch + step, members) for step in range(4, 21)]
    state, _ = adopt_view(state, later[-1], fleet.now, tuple(later[:-1]))
    for other in members:
        state = record_contact(state, other, later[-1].epoch, fleet.now)
    context.alone = settle_views(state, fleet.now)


@then('"{name}" has a share of 0 and has not settled the view by contact')
def no_share(context: Context, name: str) -> None:
    state = context.alone
    assert len(state.views) > 1, state.views
    share = rate_share("branch", state.incarnation, state.views, 10.0, 20)
    assert share == (0.0, 0), share


@then("20 random changes of 8 members are read back as the last 17 views")
def read_back_views(context: Context) -> None:
    random, views, row = Random(41), (View(1, {}),), encode_view(View(1, {}))
    for epoch in range(2, 22):
        names = random.sample("abcdefgh", random.randint(0, 8))
        members = {name: ViewMember(f"address-{name}", "zone") for name in names}
        row = encode_view(View(epoch, members), decode_views(row))
        views = (*views, View(epoch, members))
    assert decode_views(row) == views[-17:]


@when('"{name}" promises to change its epoch and 1 s later to change the next one')
def promise_twice(context: Context, name: str) -> None:
    fleet, state = context.fleet, context.fleet.state_by_name[name]
    for later in (0, 1):
        request = ViewChangeRequest("c3", state.view.epoch + later)
        event = PeerMessageReceived("c", request)
        state, _ = decide(state, event, fleet.now + later)
        assert state.promised_epoch == request.epoch
    context.alone = state


@then('with 2 votes "{name}" has authority for 2 s and no longer')
def authority_from_first_promise(context: Context, name: str) -> None:
    state, now = context.alone, context.fleet.now + 1
    others = set(state.view.member_by_incarnation) - {state.incarnation}
    voted_at = dict.fromkeys(sorted(others)[:2], now)
    state = state._replace(
        voted_at_by_incarnation=voted_at, platform_epoch_read_at=float("-inf")
    )
    assert abs(authority_deadline(state, now) - (now + 2)) < 1e-6
