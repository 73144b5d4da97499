"""Decisions on messages from peers."""

from functools import singledispatch

from jackdawspread.decisions.control import ownership, view_changes, withdrawals
from jackdawspread.decisions.control.configurations import adopt_configuration
from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_step import ControlStep
from jackdawspread.decisions.control.heartbeats import answer_heartbeat, count_vote
from jackdawspread.messages.configuration_push import ConfigurationPush
from jackdawspread.messages.heartbeat import Heartbeat
from jackdawspread.messages.heartbeat_answer import HeartbeatAnswer
from jackdawspread.messages.key_withdrawal import KeyWithdrawal
from jackdawspread.messages.key_withdrawal_answer import KeyWithdrawalAnswer
from jackdawspread.messages.leaving import Leaving
from jackdawspread.messages.seat_confirmation import SeatConfirmation
from jackdawspread.messages.term_announcement import TermAnnouncement
from jackdawspread.messages.view_change_promise import ViewChangePromise
from jackdawspread.messages.view_change_request import ViewChangeRequest


@singledispatch
def decide_peer(
    message: object, state: ControlState, address: str, now: float
) -> ControlStep:
    """Return the next state and the effects of a peer's message."""
    raise TypeError(f"control cannot handle {type(message).__name__}")


@decide_peer.register
def _(message: Heartbeat, state: ControlState, address: str, now: float) -> ControlStep:
    return answer_heartbeat(state, message, address, now)


@decide_peer.register
def _(
    message: HeartbeatAnswer, state: ControlState, address: str, now: float
) -> ControlStep:
    return count_vote(state, message, address, now)


@decide_peer.register
def _(
    message: ViewChangeRequest, state: ControlState, address: str, now: float
) -> ControlStep:
    return view_changes.answer_view_change_request(state, message, address, now)


@decide_peer.register
def _(
    message: ViewChangePromise, state: ControlState, address: str, now: float
) -> ControlStep:
    return view_changes.count_promise(state, message, address, now)


@decide_peer.register
def _(
    message: ConfigurationPush, state: ControlState, address: str, now: float
) -> ControlStep:
    return adopt_configuration(state, message.document, now)


@decide_peer.register
def _(
    message: KeyWithdrawal, state: ControlState, address: str, now: float
) -> ControlStep:
    return withdrawals.apply_key_withdrawal(state, message, address, now)


@decide_peer.register
def _(
    message: KeyWithdrawalAnswer, state: ControlState, address: str, now: float
) -> ControlStep:
    return withdrawals.count_withdrawal_confirmation(state, message, now)


@decide_peer.register
def _(
    message: TermAnnouncement, state: ControlState, address: str, now: float
) -> ControlStep:
    return ownership.apply_term_announcement(state, message)


@decide_peer.register
def _(
    message: SeatConfirmation, state: ControlState, address: str, now: float
) -> ControlStep:
    return ownership.count_ownership_confirmation(state, message, address)


@decide_peer.register
def _(message: Leaving, state: ControlState, address: str, now: float) -> ControlStep:
    leaving = state.leaving_incarnations | {message.incarnation}
    return state._replace(leaving_incarnations=leaving), ()
