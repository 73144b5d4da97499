"""State of the confirmation of binding writes."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class ConfirmationState(NamedTuple):
    """Answers that wait for a second member in the term in force.

    Parameters
    ----------
    term : int
        Term in force.
    held : Position or None
        Greatest position that a second member is known to hold in that term.
    waiting_by_id : dict of int to Position
        Position of each waiting answer by request.
    outstanding_by_member : dict of str to list of Position
        Positions that each member has been asked for and not yet answered.
    """

    term: int
    held: Position | None
    waiting_by_id: dict[int, Position]
    outstanding_by_member: dict[str, list[Position]]


def no_confirmations(term: int) -> ConfirmationState:
    """Return the state at the start of a term."""
    return ConfirmationState(term, None, {}, {})
