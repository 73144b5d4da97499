"""Answer to a caller's statement."""

from typing import NamedTuple

from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.session_phase import SessionPhase
from jackdawspread.messages.statements.statement_success import StatementSuccess


class SessionAnswer(NamedTuple):
    """Result of a statement, and the phase of the session after it."""

    result: StatementSuccess | Refusal
    phase: SessionPhase
