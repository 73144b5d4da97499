"""Plans how a caller's statement is handled."""

from functools import singledispatch

from jackdawspread.decisions.sessions.answer_locally import AnswerLocally
from jackdawspread.decisions.sessions.finish_transaction import FinishTransaction
from jackdawspread.decisions.sessions.prepared_statement_name import (
    prepared_statement_name,
)
from jackdawspread.decisions.sessions.run_statement import RunStatement
from jackdawspread.decisions.sessions.session_memory import (
    MAX_ENTRIES,
    MAX_STATE_BYTES,
    exceeds_session_limits,
)
from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.decisions.sessions.start_transaction import StartTransaction
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.begin_transaction import BeginTransaction
from jackdawspread.messages.statements.commit_transaction import CommitTransaction
from jackdawspread.messages.statements.execute_prepared import ExecutePrepared
from jackdawspread.messages.statements.forget_statement import ForgetStatement
from jackdawspread.messages.statements.malformed_statement import MalformedStatement
from jackdawspread.messages.statements.prepare_statement import PrepareStatement
from jackdawspread.messages.statements.read_item import ReadItem
from jackdawspread.messages.statements.rollback_transaction import RollbackTransaction
from jackdawspread.messages.statements.session_phase import SessionPhase
from jackdawspread.messages.statements.session_statement import SessionStatement
from jackdawspread.messages.statements.set_value import SetValue
from jackdawspread.messages.statements.statement_success import StatementSuccess
from jackdawspread.messages.statements.write_item import WriteItem

Plan = AnswerLocally | StartTransaction | RunStatement | FinishTransaction

SESSION = "session"


def plan_statement(statement: SessionStatement, state: SessionState) -> Plan:
    """Return the plan for a statement in the current phase of the session."""
    if state.phase is SessionPhase.FAILED and not isinstance(
        statement, CommitTransaction | RollbackTransaction
    ):
        detail = "the transaction failed; send ROLLBACK before other statements"
        return AnswerLocally(_refuse("malformed", detail), state)
    return _plan(statement, state)


def fail_transaction(state: SessionState) -> SessionState:
    """Return the state after an error; an open transaction can only be rolled back."""
    if state.phase is SessionPhase.IDLE:
        return state
    return state._replace(phase=SessionPhase.FAILED)


def end_transaction(state: SessionState) -> SessionState:
    """Return the state after the end of a transaction."""
    return state._replace(phase=SessionPhase.IDLE, read_only=False, has_written=False)


@singledispatch
def _plan(statement: object, state: SessionState) -> Plan:
    raise TypeError(f"no plan for a {type(statement).__name__}")


@_plan.register
def _(statement: MalformedStatement, state: SessionState) -> Plan:
    refusal = _refuse("malformed", statement.reason)
    return AnswerLocally(refusal, fail_transaction(state))


@_plan.register
def _(statement: BeginTransaction, state: SessionState) -> Plan:
    if state.phase is SessionPhase.IDLE:
        return StartTransaction(statement.read_only)
    refusal = _refuse("malformed", "a transaction is already open")
    return AnswerLocally(refusal, fail_transaction(state))


@_plan.register
def _(statement: CommitTransaction, state: SessionState) -> Plan:
    if state.phase is SessionPhase.IN_TRANSACTION:
        return FinishTransaction(commit=True)
    if state.phase is SessionPhase.IDLE:
        return AnswerLocally(_refuse("malformed", "no transaction is open"), state)
    detail = "the transaction had failed and was rolled back"
    return AnswerLocally(_refuse("aborted", detail), end_transaction(state))


@_plan.register
def _(statement: RollbackTransaction, state: SessionState) -> Plan:
    if state.phase is SessionPhase.IN_TRANSACTION:
        return FinishTransaction(commit=False)
    return AnswerLocally(StatementSuccess(), end_transaction(state))


@_plan.register
def _(statement: ReadItem, state: SessionState) -> Plan:
    return RunStatement(statement, writes=False)


@_plan.register
def _(statement: WriteItem, state: SessionState) -> Plan:
    return _write(statement, state)


@_plan.register
def _(statement: SetValue, state: SessionState) -> Plan:
    values = {**state.value_by_name, statement.name: statement.value}
    return _keep(state._replace(value_by_name=values), state)


@_plan.register
def _(statement: PrepareStatement, state: SessionState) -> Plan:
    template = (statement.writes, statement.template)
    templates = {**state.template_by_name, statement.name: template}
    return _keep(state._replace(template_by_name=templates), state)


@_plan.register
def _(statement: ForgetStatement, state: SessionState) -> Plan:
    templates = dict(state.template_by_name)
    if templates.pop(statement.name, None) is None:
        return _unknown_name(statement.name, state)
    return AnswerLocally(StatementSuccess(), state._replace(template_by_name=templates))


@_plan.register
def _(statement: ExecutePrepared, state: SessionState) -> Plan:
    prepared = state.template_by_name.get(statement.name)
    if prepared is None:
        return _unknown_name(statement.name, state)
    writes, template = prepared
    renamed = ExecutePrepared(
        prepared_statement_name(writes, template), statement.arguments
    )
    if writes:
        return _write(renamed, state)
    return RunStatement(renamed, writes=False)


def _keep(changed: SessionState, state: SessionState) -> AnswerLocally:
    """Plan the change of a session's values or prepared statements."""
    if not exceeds_session_limits(changed):
        return AnswerLocally(StatementSuccess(), changed)
    detail = (
        f"a session keeps at most {MAX_ENTRIES} values and prepared statements, "
        f"of {MAX_STATE_BYTES} bytes together"
    )
    return AnswerLocally(_refuse("busy", detail), fail_transaction(state))


def _write(statement: SessionStatement, state: SessionState) -> Plan:
    if state.phase is SessionPhase.IN_TRANSACTION and state.read_only:
        refusal = _refuse("readonly", "the transaction was begun for reading only")
        return AnswerLocally(refusal, fail_transaction(state))
    return RunStatement(statement, writes=True)


def _unknown_name(name: str, state: SessionState) -> AnswerLocally:
    refusal = _refuse("nostmt", f"no prepared statement is named {name}")
    return AnswerLocally(refusal, fail_transaction(state))


def _refuse(code: str, detail: str) -> Refusal:
    return Refusal(code, ExecutionStatus.NOT_RUN, SESSION, "", detail)
