"""Task that owns a member's state and handles its events."""

from collections import deque
from functools import singledispatchmethod
from heapq import heappop, heappush
from itertools import count
from typing import Any

from absl import logging
from expression import Error, Ok
from trio import (
    BrokenResourceError,
    MemoryReceiveChannel,
    MemorySendChannel,
    Nursery,
    current_time,
    move_on_at,
    open_nursery,
)

from jackdawspread.standins.member.answer_waiting import answer_waiting
from jackdawspread.standins.member.check_read import check_read
from jackdawspread.standins.member.check_term import check_primary
from jackdawspread.standins.member.connection_record import ConnectionRecord
from jackdawspread.standins.member.events.answer_due import AnswerDue
from jackdawspread.standins.member.events.apply_due import ApplyDue
from jackdawspread.standins.member.events.connection_lost import ConnectionLost
from jackdawspread.standins.member.events.connection_opened import ConnectionOpened
from jackdawspread.standins.member.events.fetch_result import FetchResult
from jackdawspread.standins.member.events.service_time_elapsed import ServiceTimeElapsed
from jackdawspread.standins.member.events.submission import Submission
from jackdawspread.standins.member.events.wait_expired import WaitExpired
from jackdawspread.standins.member.fault_state import FaultState, decide_fault
from jackdawspread.standins.member.member_codec import encode_answer, encode_refusal
from jackdawspread.standins.member.member_options import MemberOptions
from jackdawspread.standins.member.member_refusal import MemberRefusal
from jackdawspread.standins.member.member_store import MemberStore, RequestResult
from jackdawspread.standins.member.replica_fetcher import ReplicaFetcher
from jackdawspread.standins.member.requests.commit import Commit
from jackdawspread.standins.member.requests.confirm import Confirm
from jackdawspread.standins.member.requests.connect import Connect
from jackdawspread.standins.member.requests.execute import Execute
from jackdawspread.standins.member.requests.fault import Fault
from jackdawspread.standins.member.requests.read import Read
from jackdawspread.standins.member.requests.read_log import ReadLog
from jackdawspread.standins.member.requests.replicate import Replicate
from jackdawspread.standins.member.requests.status import Status
from jackdawspread.standins.member.requests.write import Write
from jackdawspread.standins.member.role import Role
from jackdawspread.standins.member.upstream import FetcherFactory, Upstream

MAX_WAIT_MS = 60_000
ALLOWED_BEFORE_CONNECT = (Connect, Replicate, ReadLog, Fault, Status)


class MemberNode:
    """Task that owns the log, tables, transactions and timers of a member.

    Parameters
    ----------
    options : MemberOptions
        Name, schema, limits and simulated delays.
    inbox : trio.MemoryReceiveChannel
        Events of the connections and of the fetcher.
    events : trio.MemorySendChannel
        Sending side of the inbox, passed to the fetcher.
    make_fetcher : callable
        Creates the task that fetches log entries from a primary.
    """

    def __init__(
        self,
        options: MemberOptions,
        inbox: MemoryReceiveChannel[Any],
        events: MemorySendChannel[Any],
        make_fetcher: FetcherFactory = ReplicaFetcher,
    ) -> None:
        self._options = options
        self._inbox = inbox
        self.store = MemberStore(options.name, options.schema)
        self._upstream = Upstream(events, make_fetcher)
        self._faults = FaultState(
            options.service_ms, options.replication_lag_ms, options.connect_ms
        )
        self._connection_by_id: dict[int, ConnectionRecord] = {}
        self._ids = count(1)
        self._timers: list[tuple[float, int, Any]] = []
        self._waiting: list[Submission] = []
        self._queue: deque[Submission] = deque()
        self._running: list[Submission] = []
        self._nursery: Nursery | None = None
        self._next_apply_at = float("inf")

    async def run(self) -> None:
        """Handle events and timers until cancelled."""
        async with open_nursery() as self._nursery:
            while True:
                event = None
                due = self._timers[0][0] if self._timers else float("inf")
                with move_on_at(due):
                    event = await self._inbox.receive()
                if event is not None:
                    self.handle(event)
                self._fire_timers()

    def _fire_timers(self) -> None:
        while self._timers and self._timers[0][0] <= current_time():
            self.handle(heappop(self._timers)[2])

    def _schedule(self, due: float, timer: object) -> None:
        heappush(self._timers, (due, next(self._ids), timer))

    def handle(self, event: object) -> None:
        """Handle one event, then do all work that it has made possible."""
        self._on_event(event)
        self._apply_due_entries()
        for submission in tuple(self._waiting):
            self._answer_if_ready(submission, last=False)
        self._start_queued()
        self._upstream.adjust(self.store.state, self._faults.cut, self._nursery)

    def _apply_due_entries(self) -> None:
        due = self.store.apply_due_entries(self._faults.replication_lag_ms / 1000)
        if due is not None and due < self._next_apply_at:
            self._next_apply_at = due
            self._schedule(due, ApplyDue())

    @singledispatchmethod
    def _on_event(self, event: object) -> None:
        raise TypeError(f"member cannot handle {type(event).__name__}")

    @_on_event.register
    def _(self, event: ConnectionOpened) -> None:
        self._connection_by_id[event.connection] = ConnectionRecord()

    @_on_event.register
    def _(self, event: ConnectionLost) -> None:
        lost = event.connection
        self._connection_by_id.pop(lost, None)
        self._waiting = [s for s in self._waiting if s.connection != lost]
        self._queue = deque(s for s in self._queue if s.connection != lost)
        self._running = [s for s in self._running if s.connection != lost]
        self.store.lose_connection(lost)

    @_on_event.register
    def _(self, event: Submission) -> None:
        record = self._connection_by_id.get(event.connection)
        if record is None or self._is_unreachable(event):
            return
        if not record.instance and not isinstance(
            event.request, ALLOWED_BEFORE_CONNECT
        ):
            detail = "the connection has not called /connect"
            self._answer(event, Error(MemberRefusal(403, "not_connected", detail)))
            return
        self._admit(event.request, event)

    @_on_event.register
    def _(self, event: ServiceTimeElapsed) -> None:
        if event.submission in self._running:
            self._running.remove(event.submission)
            submission = event.submission
            outcome = self.store.handle_request(
                submission.request, submission.connection
            )
            self._answer(event.submission, outcome)

    @_on_event.register
    def _(self, event: WaitExpired) -> None:
        if event.submission in self._waiting:
            self._answer_if_ready(event.submission, last=True)

    @_on_event.register
    def _(self, event: ApplyDue) -> None:
        self._next_apply_at = float("inf")

    @_on_event.register
    def _(self, event: AnswerDue) -> None:
        if self._is_unreachable(event.submission):
            return
        try:
            event.submission.reply_to.send_nowait(event.response)
        except BrokenResourceError:
            return

    @_on_event.register
    def _(self, event: FetchResult) -> None:
        entries = self._upstream.accept_result(
            event, self.store.state, self._faults.cut
        )
        self.store.append(entries)

    def _is_unreachable(self, submission: Submission) -> bool:
        record = self._connection_by_id.get(submission.connection)
        if record is None or record.is_silent:
            return True
        request = submission.request
        names = {record.instance}
        if isinstance(request, Connect):
            names.add(request.instance)
        if isinstance(request, Replicate):
            names.add(request.name)
        return not names.isdisjoint(self._faults.cut)

    def _answer(
        self, submission: Submission, outcome: RequestResult, extra_ms: float = 0.0
    ) -> None:
        if outcome.is_ok():
            response = encode_answer(outcome.ok)
        else:
            response = encode_refusal(outcome.error)
        delay = (self._options.network_delay_ms + extra_ms) / 1000
        due = AnswerDue(submission, response)
        if delay > 0:
            self._schedule(current_time() + delay, due)
        else:
            self._on_event(due)

    def _wait(self, submission: Submission, wait_ms: int) -> None:
        self._waiting.append(submission)
        if not self._answer_if_ready(submission, last=wait_ms <= 0):
            due = current_time() + min(wait_ms, MAX_WAIT_MS) / 1000
            self._schedule(due, WaitExpired(submission))

    def _answer_if_ready(self, submission: Submission, last: bool) -> bool:
        """Answer a waiting request if it is satisfied or `last` is set.

        Return whether the request no longer waits.
        """
        if submission not in self._waiting:
            return True
        request = submission.request
        if isinstance(request, Read):
            checked = check_read(self.store.state, request)
            if checked.is_error() and checked.error.code == "behind" and not last:
                return False
            self._waiting.remove(submission)
            if checked.is_ok():
                self._queue.append(submission)
            else:
                self._answer(submission, Error(checked.error))
            return True
        outcome = answer_waiting(request, self.store.state)
        if outcome.is_ok() and not last and not self._is_satisfied(outcome.ok):
            return False
        self._waiting.remove(submission)
        self._answer(submission, outcome)
        return True

    @staticmethod
    def _is_satisfied(body: dict[str, Any]) -> bool:
        return bool(body.get("held") or body.get("entries"))

    @singledispatchmethod
    def _admit(self, request: object, submission: Submission) -> None:
        """Answer a request that needs no slot at once, or queue it or let it wait."""
        self._answer(
            submission, self.store.handle_request(request, submission.connection)
        )

    @_admit.register(Confirm)
    @_admit.register(Replicate)
    @_admit.register(Read)
    def _(self, request: Confirm | Replicate | Read, submission: Submission) -> None:
        self._wait(submission, request.wait_ms)

    @_admit.register(Write)
    @_admit.register(Commit)
    def _(self, request: Write | Commit, submission: Submission) -> None:
        checked = check_primary(self.store.state, request.term)
        if checked.is_error():
            self._answer(submission, Error(checked.error))
        else:
            self._queue.append(submission)

    @_admit.register
    def _(self, request: Execute, submission: Submission) -> None:
        self._queue.append(submission)

    @_admit.register
    def _(self, request: Connect, submission: Submission) -> None:
        record = self._connection_by_id[submission.connection]
        if not request.instance:
            detail = "instance is empty"
            self._answer(
                submission, Error(MemberRefusal(400, "malformed_request", detail))
            )
        elif not record.instance and self._connected_count >= self._options.connections:
            detail = f"{self._options.connections} connections are open"
            refusal = MemberRefusal(503, "too_many_connections", detail)
            self._answer(submission, Error(refusal))
        else:
            named = record._replace(instance=request.instance)
            self._connection_by_id[submission.connection] = named
            self.store.instance_by_connection[submission.connection] = named.instance
            body = {"member": self._options.name}
            self._answer(submission, Ok(body), self._faults.connect_ms)

    @property
    def _connected_count(self) -> int:
        return sum(bool(r.instance) for r in self._connection_by_id.values())

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self._options.slots:
            submission = self._queue.popleft()
            self._running.append(submission)
            request = submission.request
            units = len(request.statements) if isinstance(request, Write) else 1
            service = self._faults.service_ms / 1000 * max(units, 1)
            self._schedule(current_time() + service, ServiceTimeElapsed(submission))

    @_admit.register
    def _(self, request: Status, submission: Submission) -> None:
        state = self.store.state
        age: int | None = None
        if state.role is Role.PRIMARY:
            age = 0
        elif self._upstream.age is not None:
            age = int(self._upstream.age * 1000)
        body = {
            "member": state.name,
            "role": state.role,
            "term": state.term,
            "promised": state.promised,
            "position": state.last_position,
            "applied": state.applied_position,
            "upstream_age_ms": age,
            "connections": self._connected_count,
            "running": len(self._running),
        }
        self._answer(submission, Ok(body))

    @_admit.register
    def _(self, request: Fault, submission: Submission) -> None:
        self._faults = decide_fault(self._faults, request)
        if request.silent:
            # The connection that carries the request stays usable, so that it
            # receives this answer.
            for id, record in self._connection_by_id.items():
                if id != submission.connection:
                    self._connection_by_id[id] = record._replace(is_silent=True)
        logging.info("member: fault name=%s %s", self._options.name, self._faults)
        self._answer(submission, Ok({}))
