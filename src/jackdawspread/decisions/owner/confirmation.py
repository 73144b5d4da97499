"""Confirmation of binding writes by a second member.

A binding write is acknowledged only after a second member has it in its log, so
that it survives the loss of the primary.
"""

from jackdawspread.decisions.owner.confirmation_state import ConfirmationState
from jackdawspread.messages.position import Position

# A second call covers the writes that arrive while the first call is in flight.
MAX_CALLS_PER_MEMBER = 2


def next_position_to_confirm(state: ConfirmationState, member: str) -> Position | None:
    """Return the position that a replica should be asked to confirm, or None.

    A member that has a position in its log has all earlier ones too, so one call
    confirms all writes up to that position.
    """
    if not state.waiting_by_id:
        return None
    outstanding = state.outstanding_by_member.get(member, [])
    if len(outstanding) >= MAX_CALLS_PER_MEMBER:
        return None
    greatest = max(state.waiting_by_id.values())
    return greatest if not outstanding or greatest > max(outstanding) else None


def add_outstanding(state: ConfirmationState, member: str, position: Position) -> None:
    """Record a confirm call that was sent to a replica."""
    state.outstanding_by_member.setdefault(member, []).append(position)


def remove_outstanding(
    state: ConfirmationState, member: str, position: Position
) -> None:
    """Record the end of a confirm call, which may belong to an earlier term."""
    outstanding = state.outstanding_by_member.get(member, [])
    if position in outstanding:
        outstanding.remove(position)


def record_confirmed(
    state: ConfirmationState, term: int, position: Position
) -> ConfirmationState:
    """Return the state after a replica confirmed a position in a term."""
    if term != state.term or (
        state.confirmed_position is not None and position <= state.confirmed_position
    ):
        return state
    return state._replace(confirmed_position=position)


def pop_confirmed(state: ConfirmationState) -> list[int]:
    """Remove and return the ids of the requests that a second member has confirmed."""
    confirmed_position = state.confirmed_position
    if confirmed_position is None or not state.waiting_by_id:
        return []
    confirmed = [
        id for id, at in state.waiting_by_id.items() if at <= confirmed_position
    ]
    for id in confirmed:
        del state.waiting_by_id[id]
    return confirmed
