"""Confirmation of binding writes by a second member."""

from jackdawspread.decisions.owner.confirmation_state import ConfirmationState
from jackdawspread.messages.position import Position

# A second call takes the writes that arrive while the first one waits.
MAX_CALLS_PER_MEMBER = 2


def next_position_to_confirm(state: ConfirmationState, member: str) -> Position | None:
    """Return the position that a replica should be asked for, or None.

    A member that holds a position holds all earlier ones, so one call serves all
    writes up to it.
    """
    if not state.waiting_by_id:
        return None
    asked = state.outstanding_by_member.get(member, [])
    if len(asked) >= MAX_CALLS_PER_MEMBER:
        return None
    greatest = max(state.waiting_by_id.values())
    return greatest if not asked or greatest > max(asked) else None


def add_outstanding(state: ConfirmationState, member: str, position: Position) -> None:
    """Record a call to a replica."""
    state.outstanding_by_member.setdefault(member, []).append(position)


def remove_outstanding(
    state: ConfirmationState, member: str, position: Position
) -> None:
    """Record the end of a call; it may belong to an earlier term."""
    asked = state.outstanding_by_member.get(member, [])
    if position in asked:
        asked.remove(position)


def note_held(
    state: ConfirmationState, term: int, position: Position
) -> ConfirmationState:
    """Return the state after a replica confirmed a position in a term."""
    if term != state.term or (state.held is not None and position <= state.held):
        return state
    return state._replace(held=position)


def take_confirmed(state: ConfirmationState) -> list[int]:
    """Remove and return the requests that a second member holds."""
    held = state.held
    if held is None or not state.waiting_by_id:
        return []
    confirmed = [id for id, at in state.waiting_by_id.items() if at <= held]
    for id in confirmed:
        del state.waiting_by_id[id]
    return confirmed
