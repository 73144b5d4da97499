"""State of the confirmation of binding writes."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class ConfirmationState(NamedTuple):
    """Answers that wait for confirmation by a second member in the current term.

    Parameters
    ----------
    term : int
        Current term.
    confirmed_position : Position or None
        Greatest position that a second member has confirmed in that term.
    waiting_by_id : dict of int to Position
        Position of each waiting answer by the id of its request.
    outstanding_by_member : dict of str to list of Position
        Positions named in the unanswered confirm calls to each member.
    """

    term: int
    confirmed_position: Position | None
    waiting_by_id: dict[int, Position]
    outstanding_by_member: dict[str, list[Position]]


def no_confirmations(term: int) -> ConfirmationState:
    """Return the state at the start of a term."""
    return ConfirmationState(term, None, {}, {})
