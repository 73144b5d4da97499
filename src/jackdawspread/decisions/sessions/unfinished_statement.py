"""Refuses the statements that wait for a member when the process exits."""

from functools import singledispatch

from jackdawspread.decisions.sessions.finish_transaction import FinishTransaction
from jackdawspread.decisions.sessions.member_outcomes import (
    refuse_aborted,
    refuse_read,
    refuse_write,
)
from jackdawspread.decisions.sessions.run_statement import RunStatement
from jackdawspread.decisions.sessions.session_shutdown import refuse_stopping
from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.decisions.sessions.start_transaction import StartTransaction
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.session_phase import SessionPhase

# A member may have run the statement.
UNFINISHED = ExchangeFailure(True, "the instance stopped before a member answered")


@singledispatch
def refuse_unfinished(plan: object, state: SessionState) -> Refusal:
    """Return the refusal of a planned statement whose run was cancelled."""
    raise TypeError(f"a {type(plan).__name__} does not wait")


@refuse_unfinished.register
def _(plan: StartTransaction, state: SessionState) -> Refusal:
    return refuse_stopping()


@refuse_unfinished.register
def _(plan: RunStatement, state: SessionState) -> Refusal:
    if state.phase is not SessionPhase.IDLE:
        return refuse_aborted(UNFINISHED, "")
    return refuse_write(UNFINISHED, "") if plan.writes else refuse_read(UNFINISHED, "")


@refuse_unfinished.register
def _(plan: FinishTransaction, state: SessionState) -> Refusal:
    if state.has_written:
        return refuse_write(UNFINISHED, "")
    return refuse_aborted(UNFINISHED, "")
