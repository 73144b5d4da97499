"""Outcome of a caller's statement."""

from typing import NamedTuple

from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.statement_success import StatementSuccess


class StatementOutcome(NamedTuple):
    """Result of a statement, the state after it, and how it came about.

    Parameters
    ----------
    result : StatementSuccess or Refusal
        What the caller is told.
    state : SessionState
        State of the session afterwards.
    member : str
        Member that answered last; empty if none was asked.
    attempts : int
        Members that were tried.
    conditions_text : str
        Position that a replica had to hold, and the age of its evidence.
    """

    result: StatementSuccess | Refusal
    state: SessionState
    member: str = ""
    attempts: int = 0
    conditions_text: str = ""
