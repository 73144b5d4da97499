"""Runs the transactions of a session."""

from trio import current_time, sleep

from jackdawspread.decisions.members.position_samples import newest_position
from jackdawspread.decisions.sessions.connection_preparation import prepare_connection
from jackdawspread.decisions.sessions.member_outcomes import (
    execution_status,
    refuse_aborted,
    refuse_busy,
    refuse_unconfirmed,
    refuse_unwritable_commit,
    refuse_write,
)
from jackdawspread.decisions.sessions.operation import Operation
from jackdawspread.decisions.sessions.run_statement import RunStatement
from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.decisions.sessions.statement_outcome import StatementOutcome
from jackdawspread.decisions.sessions.statement_plan import (
    end_transaction,
    fail_transaction,
)
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.commit_confirmation import CommitConfirmation
from jackdawspread.messages.fleet.connection_context import (
    UNKNOWN_CONTEXT,
    ConnectionContext,
)
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.position import Position
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.begin_transaction import BeginTransaction
from jackdawspread.messages.statements.commit_transaction import CommitTransaction
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_command import MemberCommand
from jackdawspread.messages.statements.member_reply import MemberReply
from jackdawspread.messages.statements.session_phase import SessionPhase
from jackdawspread.messages.statements.session_statement import SessionStatement
from jackdawspread.messages.statements.statement_success import StatementSuccess
from jackdawspread.tasks.sessions.member_calls import MemberCalls
from jackdawspread.tasks.sessions.single_statement import (
    MAX_ATTEMPTS,
    RETRY_DELAY_S,
    describe_conditions,
    read_need,
)


class TransactionRunner:
    """Runs the statements of one transaction on one member connection.

    The connection is leased at the first statement, so that a caller that is idle
    after BEGIN occupies no connection.

    Parameters
    ----------
    calls : MemberCalls
        Sends requests to the router and to members.
    """

    def __init__(self, calls: MemberCalls) -> None:
        self._calls = calls
        self._lease: MemberLease | None = None
        self._context: ConnectionContext | None = None
        self._changed_session_state = False
        self._conditions_text = ""
        self._attempts = 0

    async def run(
        self, operation: Operation, plan: RunStatement, state: SessionState
    ) -> StatementOutcome:
        """Run a read or a write in the transaction."""
        first = self._lease is None
        for _ in range(MAX_ATTEMPTS):
            refusal = await self._ensure_begun(operation, plan.statement, state)
            if refusal is not None:
                return self._outcome(refusal, fail_transaction(state))
            outcome = await self._run_once(operation, plan.statement, state)
            if isinstance(outcome, MemberReply) and not outcome.error:
                state = state._replace(has_written=state.has_written or plan.writes)
                success = StatementSuccess(outcome.rows, outcome.signature)
                return self._outcome(success, state)
            if not (first and self._may_restart(outcome, operation)):
                break
            self.drop()
            await sleep(RETRY_DELAY_S)
        refusal = refuse_aborted(outcome, self._member)
        done = self._outcome(refusal, fail_transaction(state))
        self.drop()
        return done

    async def commit(
        self, operation: Operation, state: SessionState
    ) -> StatementOutcome:
        """Commit at the member; without an answer the outcome is unknown."""
        refusal = await self._ensure_begun(operation, None, state)
        ended = end_transaction(state)
        if refusal is not None:
            return self._outcome(refusal._replace(code="aborted"), ended)
        assert self._lease is not None
        if state.has_written:
            reason = await self._calls.await_writable(
                self._lease.group, operation.connection_deadline
            )
            if reason:
                done = self._outcome(refuse_unwritable_commit(reason), ended)
                self.roll_back()
                return done
        command = MemberCommand(operation.request_id, CommitTransaction())
        outcome = await self._calls.exchange(
            self._lease, (command,), operation.deadline
        )
        if isinstance(outcome, MemberReply) and not outcome.error:
            return await self._committed(outcome, state, operation.deadline)
        if (
            state.has_written
            and execution_status(outcome) is not ExecutionStatus.NOT_RUN
        ):
            refusal = refuse_write(outcome, self._member)
            if isinstance(outcome, ExchangeFailure) and outcome.timed_out:
                self._calls.report_stalled_write(self._lease)
        else:
            refusal = refuse_aborted(outcome, self._member)
        done = self._outcome(refusal, ended)
        self.drop()
        return done

    def roll_back(self) -> None:
        """Roll back and return the connection, if one is leased."""
        if self._lease is None:
            return
        assert self._context is not None
        context = UNKNOWN_CONTEXT if self._changed_session_state else self._context
        self._calls.roll_back(self._lease, context)
        self._lease = None

    def drop(self) -> None:
        """Close the connection, so that the member rolls its transaction back."""
        if self._lease is not None:
            self._calls.return_lease(self._lease, None)
            self._lease = None

    @property
    def _member(self) -> str:
        return self._lease.member if self._lease is not None else ""

    def _outcome(
        self, result: StatementSuccess | Refusal, state: SessionState
    ) -> StatementOutcome:
        return StatementOutcome(
            result, state, self._member, self._attempts, self._conditions_text
        )

    async def _ensure_begun(
        self,
        operation: Operation,
        statement: SessionStatement | None,
        state: SessionState,
    ) -> Refusal | None:
        """Begin the transaction at a member unless it has begun; return a refusal."""
        if self._lease is not None:
            return None
        requirement = MemberRequirement.PRIMARY
        if state.read_only:
            requirement = read_need(operation.admitted.route)
        excluded: frozenset[str] = frozenset()
        refusal: Refusal | None = None
        for self._attempts in range(1, MAX_ATTEMPTS + 1):
            lease = await self._calls.lease(
                operation,
                requirement,
                state.position,
                excluded,
                is_single_statement=False,
            )
            if isinstance(lease, Refusal):
                refusal = refusal or lease
                if lease.code == "busy":
                    break
            else:
                self._conditions_text = describe_conditions(lease)
                begun = await self._begin(lease, statement, state, operation.deadline)
                if begun is None:
                    return None
                refusal = refuse_busy(begun, lease.member)
                excluded = excluded | {lease.member}
            if current_time() >= operation.connection_deadline:
                break
            await sleep(RETRY_DELAY_S)
        return refusal

    async def _begin(
        self,
        lease: MemberLease,
        statement: SessionStatement | None,
        state: SessionState,
        deadline: float,
    ) -> MemberReply | ExchangeFailure | None:
        preparation = prepare_connection(lease.context, state, statement)
        begin = BeginTransaction(read_only=not lease.requires_primary)
        command = MemberCommand("", begin, lease.required_position)
        commands = (*preparation.commands, command)
        begun = await self._calls.begin(lease, commands, deadline)
        if isinstance(begun, ExchangeFailure) or begun.error:
            self._calls.return_lease(lease, None)
            return begun
        if lease.requires_primary:
            self._calls.report_position(lease, begun, confirms_write=False)
        self._lease, self._context = lease, preparation.context
        return None

    async def _run_once(
        self, operation: Operation, statement: SessionStatement, state: SessionState
    ) -> MemberReply | ExchangeFailure:
        assert self._lease is not None and self._context is not None
        preparation = prepare_connection(self._context, state, statement)
        self._context = preparation.context
        self._changed_session_state = self._changed_session_state or bool(
            preparation.commands
        )
        command = MemberCommand(operation.request_id, statement)
        return await self._calls.exchange(
            self._lease, (*preparation.commands, command), operation.deadline
        )

    def _may_restart(
        self, outcome: MemberReply | ExchangeFailure, operation: Operation
    ) -> bool:
        """Whether the first statement may be retried in a new transaction."""
        return (
            execution_status(outcome) is ExecutionStatus.NOT_RUN
            and current_time() < operation.connection_deadline
        )

    async def _committed(
        self, reply: MemberReply, state: SessionState, deadline: float
    ) -> StatementOutcome:
        """Check a commit and return the connection."""
        assert self._lease is not None
        done = self._outcome(
            StatementSuccess(reply.rows, reply.signature), end_transaction(state)
        )
        if state.has_written:
            confirmation = await self._calls.confirm_commit(
                self._lease, reply, deadline
            )
            done = _after_commit(done, reply, confirmation, state.position)
        idle = reply.phase is SessionPhase.IDLE
        self._calls.return_lease(self._lease, self._context if idle else None)
        self._lease = None
        return done


def _after_commit(
    done: StatementOutcome,
    reply: MemberReply,
    confirmation: CommitConfirmation,
    known: Position | None,
) -> StatementOutcome:
    """Return the outcome of a commit whose check has ended."""
    if reply.position is not None:
        newest = newest_position(reply.position, known)
        done = done._replace(state=done.state._replace(position=newest))
    if not confirmation.is_confirmed:
        refusal = refuse_unconfirmed(confirmation.basis, done.member)
        return done._replace(result=refusal)
    return done._replace(position=reply.position, basis=confirmation.basis)
