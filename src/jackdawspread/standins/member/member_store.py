"""Log, tables and transactions of a member."""

from functools import singledispatchmethod
from itertools import count
from typing import Any

from absl import logging
from expression import Error, Ok, Result
from trio import current_time

from jackdawspread.messages.position import Position
from jackdawspread.standins.member.check_read import check_read
from jackdawspread.standins.member.check_term import check_primary
from jackdawspread.standins.member.decide_append import decide_append
from jackdawspread.standins.member.decide_follow import decide_follow
from jackdawspread.standins.member.decide_open import decide_open
from jackdawspread.standins.member.decide_prepare import decide_prepare
from jackdawspread.standins.member.due_entries import count_due_entries
from jackdawspread.standins.member.execution_log import ExecutionLog
from jackdawspread.standins.member.log_entry import LogEntry
from jackdawspread.standins.member.member_refusal import MemberRefusal
from jackdawspread.standins.member.member_state import MemberState
from jackdawspread.standins.member.requests.begin import Begin
from jackdawspread.standins.member.requests.commit import Commit
from jackdawspread.standins.member.requests.execute import Execute
from jackdawspread.standins.member.requests.follow import Follow
from jackdawspread.standins.member.requests.open import Open
from jackdawspread.standins.member.requests.outcome import Outcome
from jackdawspread.standins.member.requests.prepare import Prepare
from jackdawspread.standins.member.requests.read import Read
from jackdawspread.standins.member.requests.read_log import ReadLog
from jackdawspread.standins.member.requests.rollback import Rollback
from jackdawspread.standins.member.requests.write import Write
from jackdawspread.standins.member.role import Role
from jackdawspread.standins.member.sql_engine import SqlEngine
from jackdawspread.standins.member.statement_document import StatementDocument
from jackdawspread.standins.member.transaction import Transaction

RequestResult = Result[dict[str, Any], MemberRefusal]


class MemberStore:
    """Executes requests on the log, the tables and the transactions of a member.

    Parameters
    ----------
    name : str
        Name of the member.
    schema : str
        SQL that creates the tables.
    """

    def __init__(self, name: str, schema: str) -> None:
        self.state = MemberState(name, Role.REPLICA, 0, 0, [], [], 0, "")
        self.instance_by_connection: dict[int, str] = {}
        self._schema = schema
        self._engine = SqlEngine(schema)
        self._transaction_by_id: dict[str, Transaction] = {}
        self._executed = ExecutionLog()
        self._ids = count(1)

    def lose_connection(self, connection: int) -> None:
        """Roll back the transactions of a lost connection."""
        self.instance_by_connection.pop(connection, None)
        for transaction in tuple(self._transaction_by_id.values()):
            if transaction.connection == connection:
                del self._transaction_by_id[transaction.id]

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append replicated entries; rebuild the tables if a truncation needs it."""
        before = self.state.applied_count
        self.state = decide_append(self.state, entries, current_time())
        if self.state.applied_count < before:
            logging.info(
                "member: truncated applied entries name=%s from=%d to=%d",
                self.state.name,
                before,
                self.state.applied_count,
            )
            self._rebuild()

    def _rebuild(self) -> None:
        self._engine.close()
        self._engine = SqlEngine(self._schema)
        for entry in self.state.log[: self.state.applied_count]:
            self._engine.apply(entry)

    def apply_due_entries(self, lag: float) -> float | None:
        """Apply the entries that are older than the lag in seconds.

        The result is the time at which the next entry is due, None if all are applied.
        """
        count, next_due = count_due_entries(self.state, lag, current_time())
        for entry in self.state.log[self.state.applied_count : count]:
            self._engine.apply(entry)
        self.state = self.state._replace(applied_count=count)
        return next_due

    @singledispatchmethod
    def handle_request(self, request: object, connection: int) -> RequestResult:
        """Execute a request; the service time of one that takes a slot is over."""
        raise TypeError(f"member cannot execute {type(request).__name__}")

    @handle_request.register
    def _(self, request: Read, connection: int) -> RequestResult:
        checked = check_read(self.state, request)
        if checked.is_error():
            return Error(checked.error)
        offset = max(request.offset, 0)
        page = self._engine.read(request.statement, offset, request.page_rows)
        self._record_execution("read", connection, (request.statement,), page)
        position, role = self.state.applied_position, self.state.role
        return page.map(lambda body: {**body, "position": position, "role": role})

    @handle_request.register
    def _(self, request: Write, connection: int) -> RequestResult:
        checked = check_primary(self.state, request.term)
        if checked.is_error():
            return Error(checked.error)
        replay = self._find_recorded_answer(request)
        if replay is not None:
            return replay
        results = self._engine.begin_write(request.statements)
        self._record_execution(
            "write",
            connection,
            request.statements,
            results,
            workspace=request.workspace,
            request_id=request.request_id,
        )
        if results.is_error():
            return Error(results.error)
        return self._commit(request, request.statements, results.ok)

    def _find_recorded_answer(self, request: Write | Commit) -> RequestResult | None:
        if not request.request_id or not request.workspace:
            detail = "workspace or request_id is empty"
            return Error(MemberRefusal(400, "malformed_request", detail))
        found = self._engine.find_recorded(request.workspace, request.request_id)
        if found is None:
            return None
        if found.digest != request.digest:
            detail = "the request id was already used with another body"
            return Error(MemberRefusal(409, "request_id_conflict", detail))
        answer = {"results": found.results, "position": found.position}
        return Ok({**answer, "replayed": True})

    def _commit(
        self,
        request: Write | Commit,
        statements: tuple[StatementDocument, ...],
        results: tuple[Any, ...],
    ) -> RequestResult:
        state = self.state
        position = Position(state.term, len(state.log) + 1)
        entry = LogEntry(
            position,
            request.workspace,
            request.request_id,
            request.digest,
            statements,
            results,
        )
        self._engine.commit(entry)
        state.log.append(entry)
        state.appended_at.append(current_time())
        self.state = state._replace(applied_count=len(state.log))
        return Ok({"results": results, "position": position, "replayed": False})

    @handle_request.register
    def _(self, request: Begin, connection: int) -> RequestResult:
        checked = check_primary(self.state, request.term)
        if checked.is_error():
            return Error(checked.error)
        id = f"{self.state.name}-{next(self._ids)}"
        self._transaction_by_id[id] = Transaction(
            id, connection, request.term, request.workspace, [], []
        )
        return Ok({"transaction": id})

    def _find_transaction(self, id: str, connection: int) -> Result[Transaction, Any]:
        transaction = self._transaction_by_id.get(id)
        if transaction is None or transaction.connection != connection:
            detail = "no such transaction on this connection"
            return Error(MemberRefusal(404, "unknown_transaction", detail))
        checked = check_primary(self.state, transaction.term)
        if checked.is_error():
            return Error(checked.error)
        return Ok(transaction)

    @handle_request.register
    def _(self, request: Execute, connection: int) -> RequestResult:
        found = self._find_transaction(request.transaction, connection)
        if found.is_error():
            return Error(found.error)
        transaction = found.ok
        statements = (*transaction.statements, request.statement)
        results = self._engine.begin_write(statements)
        self._engine.rollback()
        self._record_execution(
            "execute",
            connection,
            (request.statement,),
            results,
            workspace=transaction.workspace,
            transaction=transaction.id,
        )
        if results.is_error():
            return Error(results.error)
        if list(results.ok[:-1]) != transaction.results:
            return self._abort_on_conflict(transaction)
        transaction.statements.append(request.statement)
        transaction.results.append(results.ok[-1])
        position = self.state.applied_position
        return Ok({**results.ok[-1], "position": position, "role": self.state.role})

    def _abort_on_conflict(self, transaction: Transaction) -> RequestResult:
        del self._transaction_by_id[transaction.id]
        detail = (
            "the result of an earlier statement changed; the transaction is rolled back"
        )
        return Error(MemberRefusal(409, "commit_conflict", detail))

    @handle_request.register
    def _(self, request: Commit, connection: int) -> RequestResult:
        checked = check_primary(self.state, request.term)
        if checked.is_error():
            return Error(checked.error)
        replay = self._find_recorded_answer(request)
        if replay is not None:
            self._transaction_by_id.pop(request.transaction, None)
            return replay
        found = self._find_transaction(request.transaction, connection)
        if found.is_error():
            return Error(found.error)
        transaction = found.ok
        statements = tuple(transaction.statements)
        if transaction.workspace != request.workspace:
            detail = "the transaction belongs to another workspace"
            return Error(MemberRefusal(404, "unknown_transaction", detail))
        results = self._engine.begin_write(statements)
        if results.is_error() or list(results.ok) != transaction.results:
            self._engine.rollback()
            return self._abort_on_conflict(transaction)
        self._record_execution(
            "commit",
            connection,
            statements,
            results,
            workspace=request.workspace,
            request_id=request.request_id,
            transaction=transaction.id,
        )
        del self._transaction_by_id[transaction.id]
        return self._commit(request, statements, results.ok)

    @handle_request.register
    def _(self, request: Rollback, connection: int) -> RequestResult:
        transaction = self._transaction_by_id.get(request.transaction)
        if transaction is None or transaction.connection != connection:
            detail = "no such transaction on this connection"
            return Error(MemberRefusal(404, "unknown_transaction", detail))
        del self._transaction_by_id[transaction.id]
        return Ok({})

    @handle_request.register
    def _(self, request: Outcome, connection: int) -> RequestResult:
        checked = check_primary(self.state, request.term)
        if checked.is_error():
            return Error(checked.error)
        found = self._engine.find_recorded(request.workspace, request.request_id)
        if found is None:
            return Ok({"found": False, "results": [], "position": None})
        answer = {"results": found.results, "position": found.position}
        return Ok({"found": True, **answer})

    @handle_request.register
    def _(self, request: Prepare, connection: int) -> RequestResult:
        self.state, granted = decide_prepare(self.state, request)
        logging.info(
            "member: promise requested name=%s term=%d granted=%s",
            self.state.name,
            request.term,
            granted,
        )
        answer = {"promised": self.state.promised, "position": self.state.last_position}
        return Ok({"granted": granted, **answer})

    @handle_request.register
    def _(self, request: Open, connection: int) -> RequestResult:
        decided = decide_open(self.state, request, current_time())
        if decided.is_error():
            return Error(decided.error)
        self.state = decided.ok
        logging.info(
            "member: opened term name=%s term=%d", self.state.name, request.term
        )
        return Ok({"term": self.state.term, "position": self.state.last_position})

    @handle_request.register
    def _(self, request: Follow, connection: int) -> RequestResult:
        decided = decide_follow(self.state, request)
        if decided.is_error():
            return Error(decided.error)
        self.state = decided.ok
        logging.info(
            "member: follows primary name=%s term=%d", self.state.name, request.term
        )
        return Ok({"term": self.state.term, "position": self.state.last_position})

    @handle_request.register
    def _(self, request: ReadLog, connection: int) -> RequestResult:
        limit = max(1, min(request.limit, 10_000))
        start = max(request.committed_offset, 0)
        committed = [
            {
                "position": entry.position,
                "workspace": entry.workspace,
                "request_id": entry.request_id,
                "statements": entry.statements,
            }
            for entry in self.state.log[start : start + limit]
        ]
        return Ok(
            {
                "committed": committed,
                "committed_count": len(self.state.log),
                **self._executed.page(request.executed_offset, limit),
            }
        )

    def _record_execution(
        self,
        kind: str,
        connection: int,
        statements: tuple[StatementDocument, ...],
        outcome: Result[Any, MemberRefusal],
        workspace: str = "",
        request_id: str = "",
        transaction: str = "",
    ) -> None:
        self._executed.append(
            {
                "kind": kind,
                "connection": connection,
                "instance": self.instance_by_connection.get(connection, ""),
                "term": self.state.term,
                "workspace": workspace,
                "request_id": request_id,
                "transaction": transaction,
                "statements": list(statements),
                "outcome": "ok" if outcome.is_ok() else outcome.error.code,
            }
        )
