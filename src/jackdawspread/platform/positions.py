"""Positions and states on the wire."""

from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.session_phase import SessionPhase

PHASE_BY_LETTER = {
    "I": SessionPhase.IDLE,
    "T": SessionPhase.IN_TRANSACTION,
    "E": SessionPhase.FAILED,
}
LETTER_BY_PHASE = {phase: letter for letter, phase in PHASE_BY_LETTER.items()}
NO_POSITION = "-"


def parse_position(text: str) -> Position | None:
    """Return a position, None for the sign that there is none.

    Raises
    ------
    ValueError
        If the text is not a position.
    """
    if text == NO_POSITION:
        return None
    term, _, number = text.partition(".")
    return Position(int(term), int(number))


def format_position(position: Position) -> str:
    """Return the text of a position."""
    return f"{position.term}.{position.sequence}"
