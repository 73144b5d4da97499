"""State machine of failure detection and promotion.

An owner that suspects the primary asks all members to promise a new term
(``prepare``). Once a majority has promised, it makes the member with the most
advanced log the primary (``open``) and lets the others replicate from it
(``follow``).
"""

from functools import singledispatch

from jackdawspread.decisions.owner.member_status import MemberStatus
from jackdawspread.decisions.owner.open_answered import OpenAnswered
from jackdawspread.decisions.owner.primary_suspected import PrimarySuspected
from jackdawspread.decisions.owner.probe_answered import ProbeAnswered
from jackdawspread.decisions.owner.probe_missed import ProbeMissed
from jackdawspread.decisions.owner.promise_received import PromiseReceived
from jackdawspread.decisions.owner.promotion_effect import PromotionEffect
from jackdawspread.decisions.owner.promotion_phase import PromotionPhase
from jackdawspread.decisions.owner.promotion_state import PromotionState
from jackdawspread.decisions.owner.promotion_steps import (
    adopt_term,
    advance,
    choose_and_open,
    complete_promotion,
    record_promise,
)
from jackdawspread.decisions.owner.promotion_tick import PromotionTick
from jackdawspread.decisions.owner.send_follow import SendFollow
from jackdawspread.decisions.owner.step_unanswered import StepUnanswered
from jackdawspread.decisions.owner.suspicion_cleared import SuspicionCleared
from jackdawspread.messages.owner_assignment import OwnerAssignment
from jackdawspread.messages.term_announcement import TermAnnouncement

PromotionTransition = tuple[PromotionState, list[PromotionEffect]]


@singledispatch
def handle_promotion_event(
    event: object, state: PromotionState, now: float
) -> PromotionTransition:
    """Return the state and the effects after an event.

    Raises
    ------
    TypeError
        If the state machine does not know the type of the event.
    """
    raise TypeError(f"promotion cannot handle {type(event).__name__}")


@handle_promotion_event.register
def _(event: ProbeAnswered, state: PromotionState, now: float) -> PromotionTransition:
    status = event.status
    address = status.address
    effects: list[PromotionEffect] = []
    if address == state.primary and state.misses_by_member.get(address, 0):
        effects.append(SuspicionCleared(address))
    state.misses_by_member[address] = 0
    state.status_by_member[address] = status
    if address == state.primary:
        state = state._replace(is_primary_refusing_connections=False)
    state = record_promise(state, status.promised, now)
    if status.role == "primary":
        state, more = _handle_reported_primary(state, status, now)
        effects += more
    if _must_follow(state, status):
        effects.append(SendFollow(address, state.term, state.primary))
    return state, effects


@handle_promotion_event.register
def _(event: ProbeMissed, state: PromotionState, now: float) -> PromotionTransition:
    misses = state.misses_by_member.get(event.address, 0) + 1
    state.misses_by_member[event.address] = misses
    if event.address != state.primary:
        return state, []
    if event.is_refused:
        state = state._replace(is_primary_refusing_connections=True)
    effects: list[PromotionEffect] = []
    if misses == 1:
        effects.append(PrimarySuspected(event.address))
    return state, effects


@handle_promotion_event.register
def _(event: PromiseReceived, state: PromotionState, now: float) -> PromotionTransition:
    state = record_promise(state, event.promised, now)
    if (
        state.phase is not PromotionPhase.PREPARING
        or event.term != state.promotion_term
    ):
        return state, []
    if not event.is_granted:
        rejecting_members = state.rejecting_members | {event.address}
        return state._replace(rejecting_members=rejecting_members), []
    promises = {**state.promised_position_by_member, event.address: event.position}
    state = state._replace(promised_position_by_member=promises)
    if 2 * len(promises) <= len(state.members):
        return state, []
    return choose_and_open(state, now)


@handle_promotion_event.register
def _(event: OpenAnswered, state: PromotionState, now: float) -> PromotionTransition:
    if state.phase is not PromotionPhase.OPENING or event.term != state.promotion_term:
        return state, []
    if event.address != state.chosen_member:
        return state, []
    if event.is_open:
        return complete_promotion(state, now)
    return state._replace(step_deadline=now), []


@handle_promotion_event.register
def _(event: StepUnanswered, state: PromotionState, now: float) -> PromotionTransition:
    if event.term != state.promotion_term:
        return state, []
    return state._replace(
        outstanding_members=state.outstanding_members - {event.address}
    ), []


@handle_promotion_event.register
def _(event: PromotionTick, state: PromotionState, now: float) -> PromotionTransition:
    return advance(state, event.jitter, now)


@handle_promotion_event.register
def _(event: OwnerAssignment, state: PromotionState, now: float) -> PromotionTransition:
    is_same = (event.generation, event.rank) == (state.generation, state.rank)
    state = state._replace(
        generation=event.generation, rank=event.rank, is_active=event.is_active
    )
    if not is_same:
        state = state._replace(phase=PromotionPhase.WATCHING)
    return state, []


@handle_promotion_event.register
def _(
    event: TermAnnouncement, state: PromotionState, now: float
) -> PromotionTransition:
    if event.term <= state.term or event.primary_address not in state.members:
        return state, []
    return adopt_term(state, event.term, event.primary_address, now)


def _handle_reported_primary(
    state: PromotionState, status: MemberStatus, now: float
) -> PromotionTransition:
    is_opening = state.phase is PromotionPhase.OPENING
    if is_opening and (status.address, status.term) == (
        state.chosen_member,
        state.promotion_term,
    ):
        return complete_promotion(state, now)
    if status.term > state.term or (status.term == state.term and not state.primary):
        return adopt_term(state, status.term, status.address, now)
    return state, []


def _must_follow(state: PromotionState, status: MemberStatus) -> bool:
    """Return whether to send ``follow`` to a member, naming the current primary.

    A member that was unreachable during a promotion still has an older term.
    """
    return (
        state.phase is PromotionPhase.WATCHING
        and (state.is_active or state.has_recent_requests)
        and state.primary not in ("", status.address)
        and status.term < state.term
        and status.promised <= state.term
    )
