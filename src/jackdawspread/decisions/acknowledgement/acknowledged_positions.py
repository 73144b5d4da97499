"""Highest acknowledged position of each term of one group."""

from jackdawspread.messages.fleet.promotion_state import PromotionState
from jackdawspread.messages.position import Position

# Terms of promotions that may still be reported.
MAX_TERMS = 4


def add_acknowledged(sequence_by_term: dict[int, int], position: Position) -> None:
    """Remember an acknowledged commit, for the newest terms."""
    known = sequence_by_term.get(position.term, 0)
    sequence_by_term[position.term] = max(known, position.sequence)
    if len(sequence_by_term) > MAX_TERMS:
        del sequence_by_term[min(sequence_by_term)]


def find_missing(
    sequence_by_term: dict[int, int], state: PromotionState
) -> Position | None:
    """Return the last acknowledged commit that the promoted log lacks, None if none.

    Only the term in which the log ended can be compared: the promoted member writes in
    a later one. A request that is outstanding may not have been executed.
    """
    end = state.log_end
    if end is None or state.last_requested in state.outstanding:
        return None
    sequence = sequence_by_term.get(end.term, 0)
    return Position(end.term, sequence) if sequence > end.sequence else None
