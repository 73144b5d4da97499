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

# A step repeats within this time; then a new round starts with a higher term.
STEP_SECONDS = 0.6
BACKOFF_SECONDS = 0.05
# Spread over several step round trips, so that competing seats rarely collide.
BACKOFF_JITTER_SECONDS = 0.3
EXHAUSTED_RETRY_SECONDS = 1.0

Step = tuple[PromotionState, list[PromotionEffect]]


def record_promise(state: PromotionState, promised: int, now: float) -> PromotionState:
    """Return the state after a member was seen to have promised a term."""
    if promised <= state.promised:
        return state
    return state._replace(promised=promised, promised_since=now)


def advance(state: PromotionState, jitter: float, now: float) -> Step:
    """Start, repeat or give up steps, as time demands."""
    if state.phase is PromotionPhase.WATCHING:
        reason = promotion_reason(state, now)
        return start_promotion(state, reason, now) if reason else (state, [])
    possible = len(state.members) - len(state.rejecting_members)
    if now >= state.step_deadline or 2 * possible <= len(state.members):
        return _back_off(state, jitter, now)
    return _resend_step(state)


def start_promotion(state: PromotionState, reason: str, now: float) -> Step:
    """Ask all members to promise a new own term."""
    above = max(state.term, state.promised, state.own_term)
    term = next_promotion_term(state.generation, state.rank, above)
    if term is None:
        state = state._replace(retry_at=now + EXHAUSTED_RETRY_SECONDS)
        detail = "no term above the promised one is left in this generation"
        return state, [PromotionFailed(above, detail)]
    state = state._replace(
        phase=PromotionPhase.PREPARING,
        own_term=term,
        promised_position_by_member={},
        rejecting_members=frozenset(),
        asked=frozenset(state.members),
        chosen="",
        step_deadline=now + STEP_SECONDS,
    )
    prepares = [SendPrepare(member, term) for member in state.members]
    return state, [PromotionStarted(term, reason), *prepares]


def choose_and_open(state: PromotionState, now: float) -> Step:
    """Open the most advanced of the members that promised."""
    promises = state.promised_position_by_member
    chosen = max(promises, key=lambda member: (promises[member], member))
    state = state._replace(
        phase=PromotionPhase.OPENING,
        chosen=chosen,
        asked=frozenset({chosen}),
        step_deadline=now + STEP_SECONDS,
    )
    return state, [SendOpen(chosen, state.own_term)]


def complete_promotion(state: PromotionState, now: float) -> Step:
    """Make the opened member the primary in force and let the others follow."""
    previous = state.status_by_member.get(state.primary)
    gap = now - previous.asked_at if previous else 0.0
    term, primary = state.own_term, state.chosen
    state = _enter_term(state, term, primary)
    follows = [SendFollow(m, term, primary) for m in state.members if m != primary]
    return state, [TermStarted(term, primary, True, gap), *follows]


def adopt_term(state: PromotionState, term: int, primary: str, now: float) -> Step:
    """Take over a term that another owner has put in force."""
    previous = state.status_by_member.get(state.primary)
    is_change = previous is not None and primary != state.primary
    gap = now - previous.asked_at if previous and is_change else 0.0
    if term < state.own_term and state.phase is not PromotionPhase.WATCHING:
        # The members that promised the own term no longer serve this one.
        return state._replace(term=term, primary=primary), []
    state = _enter_term(state, term, primary)
    return state, [TermStarted(term, primary, False, gap)]


def _enter_term(state: PromotionState, term: int, primary: str) -> PromotionState:
    state.misses_by_member[primary] = 0
    return state._replace(
        term=term,
        primary=primary,
        promised=max(state.promised, term),
        phase=PromotionPhase.WATCHING,
        asked=frozenset(),
        is_primary_refusing_connections=False,
    )


def _back_off(state: PromotionState, jitter: float, now: float) -> Step:
    delay = BACKOFF_SECONDS + BACKOFF_JITTER_SECONDS * jitter
    failed = PromotionFailed(state.own_term, f"{state.phase} not completed")
    state = state._replace(
        phase=PromotionPhase.WATCHING, retry_at=now + delay, asked=frozenset()
    )
    return state, [failed]


def _resend_step(state: PromotionState) -> Step:
    effects: list[PromotionEffect] = []
    if state.phase is PromotionPhase.OPENING:
        if state.chosen not in state.asked:
            effects.append(SendOpen(state.chosen, state.own_term))
        return state._replace(asked=frozenset({state.chosen})), effects
    answered = set(state.promised_position_by_member) | state.rejecting_members
    repeat = [m for m in state.members if m not in state.asked and m not in answered]
    effects += [SendPrepare(member, state.own_term) for member in repeat]
    return state._replace(asked=state.asked | set(repeat)), effects
