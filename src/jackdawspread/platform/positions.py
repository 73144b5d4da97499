"""Encoding of log positions and session phases in the wire protocols."""

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
    """Decode a position; None if the text stands for no position.

    Raises
    ------
    ValueError
        If the text is not a position.
    """
    if text == NO_POSITION:
        return None
    term, _, sequence = text.partition(".")
    return Position(int(term), int(sequence))


def format_position(position: Position) -> str:
    """Encode a position."""
    return f"{position.term}.{position.sequence}"
