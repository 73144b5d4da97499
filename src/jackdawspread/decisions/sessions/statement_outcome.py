"""Outcome of a caller's statement."""

from typing import NamedTuple

from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.messages.position import Position
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.statement_success import StatementSuccess


class StatementOutcome(NamedTuple):
    """Result of a statement, the session's state after it, and data for the log.

    Parameters
    ----------
    result : StatementSuccess or Refusal
        Answer to the caller.
    state : SessionState
        State of the session afterwards.
    member : str
        Member that was tried last; empty if none was.
    attempts : int
        Number of attempts, including those that found no member.
    conditions_text : str
        ``"lead"`` if the member had to be the primary, else the log position that it
        had to have, and the age of that position; then the pool host, if any.
    position : Position or None
        End of the member's log in its answer to a write or COMMIT that succeeded.
    basis : str
        Why such a write or COMMIT may be acknowledged; empty for other statements.
    """

    result: StatementSuccess | Refusal
    state: SessionState
    member: str = ""
    attempts: int = 0
    conditions_text: str = ""
    position: Position | None = None
    basis: str = ""
