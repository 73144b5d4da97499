"""Decisions of the control task of an instance."""

from functools import singledispatch

from jackdawspread.decisions.control import (
    configurations,
    heartbeats,
    ownership,
    withdrawals,
)
from jackdawspread.decisions.control.control_state import NEVER, ControlState
from jackdawspread.decisions.control.control_status import status_body
from jackdawspread.decisions.control.control_step import ControlStep, Effect
from jackdawspread.decisions.control.control_timing import PROCESS_PAUSE_S
from jackdawspread.decisions.control.initial_configuration import initial_configuration
from jackdawspread.decisions.control.peer_decision import decide_peer
from jackdawspread.decisions.control.platform_outcomes import handle_outcome, poll
from jackdawspread.decisions.control.view_changes import advance_proposal
from jackdawspread.decisions.control.views import settle_views
from jackdawspread.messages.admin_answer import AdminAnswer
from jackdawspread.messages.admin_change import AdminChange
from jackdawspread.messages.admin_result import AdminResult
from jackdawspread.messages.admin_status_query import AdminStatusQuery
from jackdawspread.messages.begin_shutdown import BeginShutdown
from jackdawspread.messages.control_log import ControlLog
from jackdawspread.messages.control_tick import ControlTick
from jackdawspread.messages.leave_view import LeaveView
from jackdawspread.messages.leaving import Leaving
from jackdawspread.messages.peer_message_received import PeerMessageReceived
from jackdawspread.messages.platform_outcome import PlatformOutcome
from jackdawspread.messages.term_announcement import TermAnnouncement
from jackdawspread.messages.withdraw_key import WithdrawKey

ControlEvent = (
    PeerMessageReceived
    | TermAnnouncement
    | PlatformOutcome
    | AdminChange
    | AdminStatusQuery
    | BeginShutdown
    | LeaveView
    | ControlTick
)


def initial_state(
    incarnation: str,
    peer_address: str,
    failure_domain: str,
    max_connections_by_database: dict[str, int],
) -> ControlState:
    """Return the state of an instance that has just started."""
    return ControlState(
        incarnation,
        peer_address,
        failure_domain,
        max_connections_by_database,
        initial_configuration(),
    )


def decide(state: ControlState, event: ControlEvent, now: float) -> ControlStep:
    """Return the next state and the effects of an event.

    Parameters
    ----------
    state : ControlState
        State before the event.
    event : ControlEvent
        Message, timer tick or outcome of a call.
    now : float
        Monotonic time in seconds.
    """
    return _decide(event, state, now)


@singledispatch
def _decide(event: object, state: ControlState, now: float) -> ControlStep:
    raise TypeError(f"control cannot handle {type(event).__name__}")


@_decide.register
def _(event: ControlTick, state: ControlState, now: float) -> ControlStep:
    state = _reset_contact_times_after_pause(state, now)
    state = settle_views(state, now)
    effects: tuple[Effect, ...] = ()
    for advance in (
        ownership.settle_ownership,
        heartbeats.send_heartbeats,
        advance_proposal,
        ownership.write_ownership,
        configurations.store_queued_changes,
        withdrawals.store_withdrawals,
        withdrawals.answer_withdrawals,
        poll,
    ):
        state, more = advance(state, now)
        effects += more
    return state, effects


def _reset_contact_times_after_pause(state: ControlState, now: float) -> ControlState:
    """Restart the contact timeouts of all peers after a pause of this process."""
    was_paused = state.ticked_at != NEVER and now >= state.ticked_at + PROCESS_PAUSE_S
    if was_paused:
        last_contact_at = dict.fromkeys(state.last_contact_at_by_incarnation, now)
        state = state._replace(last_contact_at_by_incarnation=last_contact_at)
    return state._replace(ticked_at=now)


@_decide.register
def _(event: PeerMessageReceived, state: ControlState, now: float) -> ControlStep:
    return decide_peer(event.message, state, event.peer_address, now)


@_decide.register
def _(event: TermAnnouncement, state: ControlState, now: float) -> ControlStep:
    return ownership.announce_term(state, event)


@_decide.register
def _(event: PlatformOutcome, state: ControlState, now: float) -> ControlStep:
    return handle_outcome(state, event, now)


@_decide.register
def _(event: AdminChange, state: ControlState, now: float) -> ControlStep:
    if isinstance(event.change, WithdrawKey):
        return withdrawals.start_withdrawal(state, event.change.key_id, event.id, now)
    state, queued = configurations.queue_change(state, event, now)
    state, advanced = configurations.store_queued_changes(state, now)
    return state, queued + advanced


@_decide.register
def _(event: AdminStatusQuery, state: ControlState, now: float) -> ControlStep:
    return state, (AdminResult(event.id, AdminAnswer(status_body(state, now))),)


@_decide.register
def _(event: BeginShutdown, state: ControlState, now: float) -> ControlStep:
    state = state._replace(is_leaving=True)
    log = ControlLog("control: graceful shutdown begins")
    return state, (log, *heartbeats.send_to_peers(state, Leaving(state.incarnation)))


@_decide.register
def _(event: LeaveView, state: ControlState, now: float) -> ControlStep:
    log = ControlLog("control: leaving the view")
    return state._replace(is_leaving=True, may_leave_view=True), (log,)
