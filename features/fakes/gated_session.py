"""Statements of a session with a fake acknowledgement task and member."""

from functools import singledispatchmethod

from trio import (
    MemoryReceiveChannel,
    Nursery,
    current_time,
    open_memory_channel,
    open_nursery,
    run,
)
from trio.testing import MockClock, wait_all_tasks_blocked

from jackdawspread.decisions.sessions.operation import Operation
from jackdawspread.decisions.sessions.run_statement import RunStatement
from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.decisions.sessions.statement_outcome import StatementOutcome
from jackdawspread.messages.fleet.await_writable import AwaitWritable
from jackdawspread.messages.fleet.commit_confirmation import CommitConfirmation
from jackdawspread.messages.fleet.confirm_commit import ConfirmCommit
from jackdawspread.messages.fleet.connection_context import EMPTY_CONTEXT
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.consistency import Consistency
from jackdawspread.messages.fleet.database_route import DatabaseRoute
from jackdawspread.messages.fleet.lease_returned import LeaseReturned
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.begin_transaction import BeginTransaction
from jackdawspread.messages.statements.commit_transaction import CommitTransaction
from jackdawspread.messages.statements.member_reply import MemberReply
from jackdawspread.messages.statements.read_item import ReadItem
from jackdawspread.messages.statements.rollback_transaction import RollbackTransaction
from jackdawspread.messages.statements.session_phase import SessionPhase
from jackdawspread.messages.statements.write_item import WriteItem
from jackdawspread.tasks.sessions.member_calls import MemberCalls
from jackdawspread.tasks.sessions.single_statement import run_single
from jackdawspread.tasks.sessions.transaction_runner import TransactionRunner

ROUTE = DatabaseRoute("d", "g", Consistency.SESSION, 1.0, 5.0, 1.0, 0, False)
MEMBER = "a"
POSITION = Position(3, 7)
SENT_AT = 12.5
STATEMENT_TIMEOUT_S = 1.5
CONNECTION_WAIT_S = 0.5
INBOX = 100
STATEMENT_BY_WORD = {"write": WriteItem("x 1"), "read": ReadItem("x")}
NAME_BY_TYPE = {
    BeginTransaction: "begin",
    CommitTransaction: "commit",
    ReadItem: "read",
    RollbackTransaction: "rollback",
    WriteItem: "write",
}


class GatedSession:
    """Runs one statement or one transaction, and records all messages.

    Parameters
    ----------
    is_writable, is_confirmed : bool or None
        Answers of the acknowledgement task; None if it never answers.
    """

    def __init__(self, is_writable: bool | None, is_confirmed: bool | None) -> None:
        self._is_writable = is_writable
        self._is_confirmed = is_confirmed
        self.commands: list[str] = []
        self.asked: list[str] = []
        self.router_events: list[object] = []
        self.leased: list[int] = []
        self.outcome: StatementOutcome

    @property
    def returned(self) -> list[int]:
        """Connections that were returned."""
        return [
            event.connection
            for event in self.router_events
            if isinstance(event, LeaseReturned)
        ]

    @property
    def positions(self) -> list[PositionSeen]:
        """Positions that the router was told of."""
        return [
            event for event in self.router_events if isinstance(event, PositionSeen)
        ]

    def run(self, kind: str) -> None:
        """Run a ``read``, a ``write``, or a ``reading`` or ``writing transaction``."""
        run(self._run, kind, clock=MockClock(autojump_threshold=0))

    async def _run(self, kind: str) -> None:
        broker, leases = open_memory_channel(INBOX)
        router, events = open_memory_channel(INBOX)
        admission, _ = open_memory_channel(INBOX)
        acknowledgements, requests = open_memory_channel(INBOX)
        calls = MemberCalls(broker, router, admission, acknowledgements)
        async with open_nursery() as nursery:
            nursery.start_soon(self._grant, leases, nursery)
            nursery.start_soon(self._collect, events)
            nursery.start_soon(self._answer_requests, requests)
            now = current_time()
            operation = Operation(
                OperationAdmitted(ROUTE, "w", 1, 0.0, 3.0),
                "id",
                now + STATEMENT_TIMEOUT_S,
                now + CONNECTION_WAIT_S,
            )
            self.outcome = await _run_kind(kind, calls, operation)
            await wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    async def _collect(self, events: MemoryReceiveChannel) -> None:
        async for event in events:
            self.router_events.append(event)

    async def _grant(self, requests: MemoryReceiveChannel, nursery: Nursery) -> None:
        async for request in requests:
            assert isinstance(request, ConnectionRequest), request
            exchanges, inbox = open_memory_channel(INBOX)
            nursery.start_soon(self._serve, inbox)
            needs_primary = request.requirement is MemberRequirement.PRIMARY
            self.leased.append(len(self.leased))
            request.reply_to.send_nowait(
                MemberLease(
                    self.leased[-1],
                    MEMBER,
                    "g",
                    exchanges,
                    EMPTY_CONTEXT,
                    needs_primary,
                    None if needs_primary else Position(0, 0),
                    0.0,
                )
            )

    async def _serve(self, exchanges: MemoryReceiveChannel) -> None:
        async for exchange in exchanges:
            statement = exchange.commands[-1].statement
            self.commands.append(NAME_BY_TYPE[type(statement)])
            reply = MemberReply(
                (), "s", "", "", SessionPhase.IDLE, POSITION, sent_at=SENT_AT
            )
            exchange.reply_to.send_nowait(reply)

    async def _answer_requests(self, requests: MemoryReceiveChannel) -> None:
        async for request in requests:
            self._answer(request)

    @singledispatchmethod
    def _answer(self, request: object) -> None:
        raise TypeError(type(request).__name__)

    @_answer.register
    def _(self, request: AwaitWritable) -> None:
        assert request.group == "g", request
        assert request.expires_at <= current_time() + CONNECTION_WAIT_S, request
        self.asked.append("writable")
        if self._is_writable is not None:
            request.reply_to.send_nowait("" if self._is_writable else "suspended")

    @_answer.register
    def _(self, request: ConfirmCommit) -> None:
        expected = ("g", MEMBER, POSITION, SENT_AT)
        assert request[: len(expected)] == expected, request
        assert request.expires_at <= current_time() + STATEMENT_TIMEOUT_S, request
        self.asked.append("commit")
        if self._is_confirmed is not None:
            basis = "permit" if self._is_confirmed else "no permit"
            request.reply_to.send_nowait(CommitConfirmation(self._is_confirmed, basis))


async def _run_kind(
    kind: str, calls: MemberCalls, operation: Operation
) -> StatementOutcome:
    word = "write" if kind.startswith("writ") else "read"
    plan = RunStatement(STATEMENT_BY_WORD[word], word == "write")
    if "transaction" not in kind:
        return await run_single(calls, operation, plan, SessionState())
    runner = TransactionRunner(calls)
    state = SessionState(phase=SessionPhase.IN_TRANSACTION)
    outcome = await runner.run(operation, plan, state)
    return await runner.commit(operation, outcome.state)
