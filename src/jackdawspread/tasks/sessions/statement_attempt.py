"""Runs one attempt at a statement outside of transactions."""

from jackdawspread.decisions.sessions.connection_preparation import prepare_connection
from jackdawspread.decisions.sessions.run_statement import RunStatement
from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.messages.fleet.commit_confirmation import CommitConfirmation
from jackdawspread.messages.fleet.connection_context import ConnectionContext
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.statements.begin_transaction import BeginTransaction
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_command import MemberCommand
from jackdawspread.messages.statements.member_reply import MemberReply
from jackdawspread.messages.statements.session_phase import SessionPhase
from jackdawspread.tasks.sessions.member_calls import MemberCalls
from jackdawspread.tasks.sessions.statement_attempt_result import (
    StatementAttemptResult,
)


async def attempt_statement(
    calls: MemberCalls,
    lease: MemberLease,
    plan: RunStatement,
    state: SessionState,
    request_id: str,
    deadline: float,
) -> StatementAttemptResult:
    """Run a statement on a leased connection and return the lease."""
    preparation = prepare_connection(lease.context, state, plan.statement)
    command = MemberCommand(request_id, plan.statement, lease.required_position)
    if lease.requires_primary and not plan.writes:
        read = await _read_at_primary(
            calls, lease, preparation.commands, preparation.context, command, deadline
        )
        return StatementAttemptResult(read)
    commands = (*preparation.commands, command)
    outcome = await calls.exchange(lease, commands, deadline)
    try:
        confirmation = None
        if plan.writes:
            confirmation = await _finish_write(calls, lease, outcome, deadline)
    finally:
        calls.return_lease(lease, context_after(outcome, preparation.context))
    return StatementAttemptResult(outcome, confirmation)


async def _read_at_primary(
    calls: MemberCalls,
    lease: MemberLease,
    preparation: tuple[MemberCommand, ...],
    context: ConnectionContext,
    command: MemberCommand,
    deadline: float,
) -> MemberReply | ExchangeFailure:
    """Read in a read-write transaction, which only the current primary begins.

    A former primary refuses to begin such a transaction and to run its statements.
    The read is therefore never stale, and needs neither a clock nor a leader lease.
    """
    begin = MemberCommand("", BeginTransaction(read_only=False))
    begun = await calls.begin(lease, (*preparation, begin), deadline)
    if isinstance(begun, ExchangeFailure):
        calls.return_lease(lease, None)
        return begun._replace(sent=False)
    if begun.error:
        calls.return_lease(lease, None)
        return begun
    calls.report_position(lease, begun, confirms_write=False)
    outcome = await calls.exchange(lease, (command,), deadline)
    if isinstance(outcome, ExchangeFailure):
        calls.return_lease(lease, None)
    else:
        calls.roll_back(lease, context)
    return outcome


async def _finish_write(
    calls: MemberCalls,
    lease: MemberLease,
    outcome: MemberReply | ExchangeFailure,
    deadline: float,
) -> CommitConfirmation | None:
    """Report a stalled write, or check a commit; return the result of the check."""
    if isinstance(outcome, ExchangeFailure):
        if outcome.timed_out:
            calls.report_stalled_write(lease)
        return None
    if outcome.error:
        return None
    return await calls.confirm_commit(lease, outcome, deadline)


def context_after(
    outcome: MemberReply | ExchangeFailure, context: ConnectionContext
) -> ConnectionContext | None:
    """Return the session state of the connection, None if it must be closed.

    Values and prepared statements count as set only if the member has accepted them
    all, which is certain once the command behind them was sent.
    """
    if isinstance(outcome, ExchangeFailure) or not outcome.sent_at:
        return None
    return context if outcome.phase is SessionPhase.IDLE else None
