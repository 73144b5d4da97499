"""Steps of a promotion."""

from jackdawspread.decisions.owner.owner_term import next_promotion_term
from jackdawspread.decisions.owner.promotion_effect import PromotionEffect
from jackdawspread.decisions.owner.promotion_failed import PromotionFailed
from jackdawspread.decisions.owner.promotion_phase import PromotionPhase
from jackdawspread.decisions.owner.promotion_reason import promotion_reason
from jackdawspread.decisions.owner.promotion_started import PromotionStarted
from jackdawspread.decisions.owner.promotion_state import PromotionState
from jackdawspread.decisions.owner.send_follow import SendFollow
from jackdawspread.decisions.owner.send_open import SendOpen
from jackdawspread.decisions.owner.send_prepare import SendPrepare
from jackdawspread.decisions.owner.term_started import TermStarted

# A step is resent within this time; then a new promotion starts with a higher term.
STEP_SECONDS = 0.6
BACKOFF_SECONDS = 0.05
# Spread over several step round trips, so that competing owners rarely collide.
BACKOFF_JITTER_SECONDS = 0.3
EXHAUSTED_RETRY_SECONDS = 1.0

PromotionTransition = tuple[PromotionState, list[PromotionEffect]]


def record_promise(state: PromotionState, promised: int, now: float) -> PromotionState:
    """Return the state after a member reported the greatest term it promised."""
    if promised <= state.promised:
        return state
    return state._replace(promised=promised, promised_since=now)


def advance(state: PromotionState, jitter: float, now: float) -> PromotionTransition:
    """Start a promotion, resend its outstanding steps or abandon it, as is due."""
    if state.phase is PromotionPhase.WATCHING:
        reason = promotion_reason(state, now)
        return start_promotion(state, reason, now) if reason else (state, [])
    possible = len(state.members) - len(state.rejecting_members)
    if now >= state.step_deadline or 2 * possible <= len(state.members):
        return _back_off(state, jitter, now)
    return _resend_step(state)


def start_promotion(
    state: PromotionState, reason: str, now: float
) -> PromotionTransition:
    """Ask all members to promise a new term of this owner."""
    above = max(state.term, state.promised, state.promotion_term)
    term = next_promotion_term(state.generation, state.rank, above)
    if term is None:
        state = state._replace(retry_at=now + EXHAUSTED_RETRY_SECONDS)
        detail = "no term above the promised one is left in this generation"
        return state, [PromotionFailed(above, detail)]
    state = state._replace(
        phase=PromotionPhase.PREPARING,
        promotion_term=term,
        promised_position_by_member={},
        rejecting_members=frozenset(),
        outstanding_members=frozenset(state.members),
        chosen_member="",
        step_deadline=now + STEP_SECONDS,
    )
    prepares = [SendPrepare(member, term) for member in state.members]
    return state, [PromotionStarted(term, reason), *prepares]


def choose_and_open(state: PromotionState, now: float) -> PromotionTransition:
    """Open the member with the most advanced log of those that promised."""
    promises = state.promised_position_by_member
    chosen_member = max(promises, key=lambda member: (promises[member], member))
    state = state._replace(
        phase=PromotionPhase.OPENING,
        chosen_member=chosen_member,
        outstanding_members=frozenset({chosen_member}),
        step_deadline=now + STEP_SECONDS,
    )
    return state, [SendOpen(chosen_member, state.promotion_term)]


def complete_promotion(state: PromotionState, now: float) -> PromotionTransition:
    """Record the opened member as the primary and let the others follow it."""
    previous = state.status_by_member.get(state.primary)
    failover_gap = now - previous.probe_sent_at if previous else 0.0
    term, primary = state.promotion_term, state.chosen_member
    state = _enter_term(state, term, primary)
    follows = [SendFollow(m, term, primary) for m in state.members if m != primary]
    return state, [TermStarted(term, primary, True, failover_gap), *follows]


def adopt_term(
    state: PromotionState, term: int, primary: str, now: float
) -> PromotionTransition:
    """Record a term that another owner established."""
    previous = state.status_by_member.get(state.primary)
    is_change = previous is not None and primary != state.primary
    failover_gap = now - previous.probe_sent_at if previous and is_change else 0.0
    if term < state.promotion_term and state.phase is not PromotionPhase.WATCHING:
        # The members that promised the greater term of this owner's promotion no
        # longer accept requests of this term.
        return state._replace(term=term, primary=primary), []
    state = _enter_term(state, term, primary)
    return state, [TermStarted(term, primary, False, failover_gap)]


def _enter_term(state: PromotionState, term: int, primary: str) -> PromotionState:
    state.misses_by_member[primary] = 0
    return state._replace(
        term=term,
        primary=primary,
        promised=max(state.promised, term),
        phase=PromotionPhase.WATCHING,
        outstanding_members=frozenset(),
        is_primary_refusing_connections=False,
    )


def _back_off(state: PromotionState, jitter: float, now: float) -> PromotionTransition:
    delay = BACKOFF_SECONDS + BACKOFF_JITTER_SECONDS * jitter
    failed = PromotionFailed(state.promotion_term, f"{state.phase} not completed")
    state = state._replace(
        phase=PromotionPhase.WATCHING,
        retry_at=now + delay,
        outstanding_members=frozenset(),
    )
    return state, [failed]


def _resend_step(state: PromotionState) -> PromotionTransition:
    effects: list[PromotionEffect] = []
    if state.phase is PromotionPhase.OPENING:
        if state.chosen_member not in state.outstanding_members:
            effects.append(SendOpen(state.chosen_member, state.promotion_term))
        return state._replace(
            outstanding_members=frozenset({state.chosen_member})
        ), effects
    answered = set(state.promised_position_by_member) | state.rejecting_members
    unasked = [
        m
        for m in state.members
        if m not in state.outstanding_members and m not in answered
    ]
    effects += [SendPrepare(member, state.promotion_term) for member in unasked]
    return state._replace(
        outstanding_members=state.outstanding_members | set(unasked)
    ), effects
