"""Plan for a statement that the proxy answers itself."""

from typing import NamedTuple

from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.statement_success import StatementSuccess


class AnswerLocally(NamedTuple):
    """Answers without a member and leaves the session in ``state``."""

    result: StatementSuccess | Refusal
    state: SessionState
