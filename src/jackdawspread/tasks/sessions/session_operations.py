"""Runs the statements of one session."""

from trio import MemorySendChannel, current_time

from jackdawspread.decisions.sessions.answer_locally import AnswerLocally
from jackdawspread.decisions.sessions.connection_wait import connection_wait_s
from jackdawspread.decisions.sessions.finish_transaction import FinishTransaction
from jackdawspread.decisions.sessions.operation import Operation
from jackdawspread.decisions.sessions.run_statement import RunStatement
from jackdawspread.decisions.sessions.session_memory import session_state_bytes
from jackdawspread.decisions.sessions.session_shutdown import (
    refuse_handshake,
    refuse_while_stopping,
)
from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.decisions.sessions.start_transaction import StartTransaction
from jackdawspread.decisions.sessions.statement_outcome import StatementOutcome
from jackdawspread.decisions.sessions.statement_plan import (
    Plan,
    end_transaction,
    fail_transaction,
    plan_statement,
)
from jackdawspread.decisions.sessions.unfinished_statement import refuse_unfinished
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.acknowledgement_event import AcknowledgementEvent
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.pool_hosts.lease_broker_event import LeaseBrokerEvent
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.open_session import OpenSession
from jackdawspread.messages.statements.session_answer import SessionAnswer
from jackdawspread.messages.statements.session_phase import SessionPhase
from jackdawspread.messages.statements.session_request import SessionRequest
from jackdawspread.messages.statements.statement_success import StatementSuccess
from jackdawspread.settings.stop_times import StopTimes
from jackdawspread.tasks.sessions.admission_calls import AdmissionCalls
from jackdawspread.tasks.sessions.member_calls import MemberCalls
from jackdawspread.tasks.sessions.single_statement import run_single
from jackdawspread.tasks.sessions.statement_log import log_statement
from jackdawspread.tasks.sessions.transaction_runner import TransactionRunner


class SessionOperations:
    """Answers the statements of one session; only the session's task uses it.

    Parameters
    ----------
    handshake : OpenSession
        Database and key of the session.
    admission : trio.MemorySendChannel
        Inbox of the admission task.
    broker, router : trio.MemorySendChannel
        Inboxes of the lease broker and the member router.
    acknowledgements : trio.MemorySendChannel
        Inbox of the acknowledgement task.
    """

    def __init__(
        self,
        handshake: OpenSession,
        admission: MemorySendChannel[AdmissionEvent],
        broker: MemorySendChannel[LeaseBrokerEvent],
        router: MemorySendChannel[RouterEvent],
        acknowledgements: MemorySendChannel[AcknowledgementEvent],
    ) -> None:
        self._handshake = handshake
        self._admissions = AdmissionCalls(handshake, admission)
        self._calls = MemberCalls(broker, router, admission, acknowledgements)
        self._state = SessionState()
        self._admitted: OperationAdmitted | None = None
        self._transaction: TransactionRunner | None = None
        self._stop_times: StopTimes | None = None

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._state.phase is not SessionPhase.IDLE

    @property
    def idle_limit_s(self) -> float:
        """Time for which the open transaction may stay idle, in seconds."""
        if self._state.phase is not SessionPhase.IN_TRANSACTION:
            return float("inf")
        assert self._admitted is not None
        return self._admitted.transaction_idle_s

    async def renew_idle_limit(self) -> float:
        """Return the limit in force for the idle transaction; 0 if it must end."""
        assert self._admitted is not None
        admitted = await self._admissions.check_continuation(self._admitted)
        if isinstance(admitted, Refusal):
            return 0.0
        self._admitted = admitted
        return self.idle_limit_s

    @property
    def state_bytes(self) -> int:
        """Memory of the session's values and prepared statements."""
        return session_state_bytes(self._state)

    def stop(self, times: StopTimes) -> None:
        """Refuse from now on what can't end before the process exits."""
        self._stop_times = times

    async def check_handshake(self) -> Refusal | None:
        """Return the refusal of the session, None if it is admitted."""
        if self._stop_times is not None:
            refusal = refuse_handshake(self._stop_times, current_time())
            if refusal is not None:
                return refusal
        admitted = await self._admissions.admit(counts_against_rate=False)
        return admitted if isinstance(admitted, Refusal) else None

    async def answer(self, request: SessionRequest) -> SessionAnswer:
        """Run one statement and return its answer."""
        arrived_at = current_time()
        outcome = await self._run(request)
        return self._finish(request, outcome, current_time() - arrived_at)

    def give_up(self, request: SessionRequest, elapsed_s: float) -> SessionAnswer:
        """Return the answer to a statement whose run was cancelled by a shutdown."""
        plan = plan_statement(request.statement, self._state)
        if self._transaction is not None:
            self._transaction.drop()
            self._transaction = None
        refusal = refuse_unfinished(plan, self._state)
        outcome = self._refused(refusal, plan)
        return self._finish(request, outcome, elapsed_s)

    def refuse(self, request: SessionRequest, refusal: Refusal) -> SessionAnswer:
        """Return the answer to a statement that is refused and does not run.

        An open transaction is rolled back.
        """
        plan = plan_statement(request.statement, self._state)
        self.close()
        return self._finish(request, self._refused(refusal, plan), 0.0)

    def roll_back_idle_transaction(self) -> None:
        """Roll the idle transaction back and mark it as failed.

        Further statements are refused until the caller ends the transaction.
        """
        self.close()
        self._state = fail_transaction(self._state)

    def close(self) -> None:
        """Roll back the open transaction and return its connection."""
        if self._transaction is not None:
            self._transaction.roll_back()
            self._transaction = None

    def _finish(
        self, request: SessionRequest, outcome: StatementOutcome, elapsed_s: float
    ) -> SessionAnswer:
        phase_before = self._state.phase
        self._state = outcome.state
        log_statement(
            self._handshake.database,
            request,
            phase_before,
            self._admitted,
            outcome,
            elapsed_s,
        )
        return SessionAnswer(outcome.result, outcome.state.phase)

    def _refused(self, refusal: Refusal, plan: Plan) -> StatementOutcome:
        """Return the outcome of a plan that is refused.

        What ends a transaction ends it also if it is refused.
        """
        ends_failed = (
            isinstance(plan, AnswerLocally) and plan.state.phase is SessionPhase.IDLE
        )
        if isinstance(plan, FinishTransaction) or ends_failed:
            return StatementOutcome(refusal, end_transaction(self._state))
        return StatementOutcome(refusal, fail_transaction(self._state))

    async def _run(self, request: SessionRequest) -> StatementOutcome:
        plan = plan_statement(request.statement, self._state)
        if self._stop_times is not None:
            refusal = refuse_while_stopping(
                plan, self.in_transaction, self._stop_times, current_time()
            )
            if refusal is not None:
                self.close()
                return self._refused(refusal, plan)
        if isinstance(plan, AnswerLocally):
            if plan.state.phase is not SessionPhase.IN_TRANSACTION:
                self.close()
            return StatementOutcome(plan.result, plan.state)
        if isinstance(plan, StartTransaction):
            return await self._start(plan)
        in_transaction = self._state.phase is SessionPhase.IN_TRANSACTION
        if isinstance(plan, FinishTransaction) and not plan.commit:
            self.close()
            return StatementOutcome(StatementSuccess(), end_transaction(self._state))
        if in_transaction:
            assert self._admitted is not None
            admitted = await self._admissions.check_continuation(self._admitted)
        else:
            admitted = await self._admissions.admit(counts_against_rate=True)
        if isinstance(admitted, Refusal):
            self.close()
            return self._refused(admitted, plan)
        self._admitted = admitted
        return await self._run_at_member(request, plan, in_transaction)

    async def _start(self, plan: StartTransaction) -> StatementOutcome:
        admitted = await self._admissions.admit(counts_against_rate=True)
        if isinstance(admitted, Refusal):
            return StatementOutcome(admitted, self._state)
        self._admitted = admitted
        self._transaction = TransactionRunner(self._calls)
        state = self._state._replace(
            phase=SessionPhase.IN_TRANSACTION, read_only=plan.read_only
        )
        return StatementOutcome(StatementSuccess(), state)

    async def _run_at_member(
        self,
        request: SessionRequest,
        plan: RunStatement | FinishTransaction,
        in_transaction: bool,
    ) -> StatementOutcome:
        operation = self._operation(request)
        if not in_transaction:
            assert isinstance(plan, RunStatement)
            single = await run_single(self._calls, operation, plan, self._state)
            self._return_unused_token(single)
            return single
        assert self._transaction is not None
        if isinstance(plan, FinishTransaction):
            outcome = await self._transaction.commit(operation, self._state)
        else:
            outcome = await self._transaction.run(operation, plan, self._state)
        if outcome.state.phase is not SessionPhase.IN_TRANSACTION:
            self.close()
        return outcome

    def _return_unused_token(self, outcome: StatementOutcome) -> None:
        """Return the rate token of an operation that no member has run."""
        assert self._admitted is not None
        result = outcome.result
        if isinstance(result, Refusal) and result.ran is ExecutionStatus.NOT_RUN:
            self._admissions.return_token(self._admitted.workspace)

    def _operation(self, request: SessionRequest) -> Operation:
        assert self._admitted is not None
        now = current_time()
        route = self._admitted.route
        return Operation(
            self._admitted,
            request.id,
            now + route.statement_timeout_s,
            now + connection_wait_s(route),
            now + route.latency_target_s,
        )
