"""Plan for a statement that needs no member."""

from typing import NamedTuple

from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.statement_success import StatementSuccess


class AnswerLocally(NamedTuple):
    """Answers at once and leaves the session in ``state``."""

    result: StatementSuccess | Refusal
    state: SessionState
