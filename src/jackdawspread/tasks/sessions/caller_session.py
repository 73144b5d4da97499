"""Session of one caller."""

from math import inf

from absl import logging
from trio import (
    BrokenResourceError,
    Cancelled,
    CancelScope,
    ClosedResourceError,
    MemorySendChannel,
    SocketStream,
    current_time,
    move_on_at,
)

from jackdawspread.decisions.sessions.session_shutdown import (
    closing_notice,
    end_session_at,
    notify_session_at,
    refuse_stopping,
)
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.acknowledgement_event import AcknowledgementEvent
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.pool_hosts.lease_broker_event import LeaseBrokerEvent
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.close_session import CloseSession
from jackdawspread.messages.statements.open_session import OpenSession
from jackdawspread.messages.statements.session_answer import SessionAnswer
from jackdawspread.messages.statements.session_request import SessionRequest
from jackdawspread.settings.stop_times import StopTimes
from jackdawspread.tasks.limits.memory_account import MemoryAccount
from jackdawspread.tasks.limits.memory_budget import SHORT_OF_MEMORY, MemoryBudget
from jackdawspread.tasks.sessions.session_codec import SessionCodec
from jackdawspread.tasks.sessions.session_end_log import (
    CALLER_CLOSED,
    INVALID_MESSAGE,
    SessionEndLog,
)
from jackdawspread.tasks.sessions.session_ending import SessionEnding
from jackdawspread.tasks.sessions.session_operations import SessionOperations

PART = "session"
READ_CHUNK_BYTES = 16 * 1024
HANDSHAKE_TIMEOUT_S = 10.0
# A message whose first byte has arrived is complete after this time.
MESSAGE_TIMEOUT_S = 10.0
# The session of a caller that does not read its answer for this long is closed.
WRITE_TIMEOUT_S = 10.0
# Copies of a message and of an answer that exist while they are handled.
MESSAGE_COPIES = 3
ANSWER_COPIES = 2
OVERLOADED = Refusal(
    "busy",
    ExecutionStatus.NOT_RUN,
    "admission",
    "",
    "the instance is short of memory",
    1000,
)


class CallerSession:
    """Owns the socket of one caller and answers its statements in order.

    Parameters
    ----------
    stream : trio.SocketStream
        The accepted socket.
    codec : SessionCodec
        Protocol of the caller.
    admission, broker, router : trio.MemorySendChannel
        Inboxes of the admission task, the lease broker and the member router.
    budget : MemoryBudget
        Memory of all connections.
    account : MemoryAccount
        What this session holds of it.
    ends : SessionEndLog
        Logs how the session ended.
    acknowledgements : trio.MemorySendChannel
        Inbox of the acknowledgement task.
    """

    def __init__(
        self,
        stream: SocketStream,
        codec: SessionCodec,
        admission: MemorySendChannel[AdmissionEvent],
        broker: MemorySendChannel[LeaseBrokerEvent],
        router: MemorySendChannel[RouterEvent],
        budget: MemoryBudget,
        account: MemoryAccount,
        ends: SessionEndLog,
        acknowledgements: MemorySendChannel[AcknowledgementEvent],
    ) -> None:
        self._acknowledgements = acknowledgements
        self._budget = budget
        self._account = account
        self._stream = stream
        self._codec = codec
        self._admission = admission
        self._broker = broker
        self._router = router
        self._operations: SessionOperations | None = None
        # The scope of the wait for the next message, and of the statement that runs.
        self._reading: CancelScope | None = None
        self._answering: CancelScope | None = None
        self._stop_times: StopTimes | None = None
        self._active_at = current_time()
        self._has_answered_handshake = False
        # The closing notice that the caller has got since its last answer.
        self._notice: Refusal | None = None
        # Size of the message that was decoded last.
        self._message_bytes = 0
        self._ending = SessionEnding(stream, codec, account, ends)

    async def run(self) -> None:
        """Serve until the caller disconnects or the session is stopped."""
        try:
            with self._account.scope:
                if await self._open():
                    await self._serve()
            if self._account.scope.cancelled_caught:
                self._ending.reason = "closed for other connections"
        except Cancelled:
            self._ending.reason = "exit"
            raise
        except (BrokenResourceError, ClosedResourceError) as error:
            # The caller has disconnected, so no answer can be sent.
            self._ending.fail(error)
        except ValueError as error:
            self._ending.reason = INVALID_MESSAGE
            logging.vlog(1, "session: cannot decode message reason=%r", error)
            self._budget.refuse(PART, INVALID_MESSAGE)
            self._hold(0)
        finally:
            await self._end()

    async def _end(self) -> None:
        """Roll back an open transaction and close the connection."""
        idle_s = current_time() - self._active_at
        in_transaction = False
        if self._operations is not None:
            in_transaction = self._operations.in_transaction
            self._operations.close()
        refusal = None
        if self._stop_times is not None and not self._has_answered_handshake:
            refusal = refuse_stopping()
        await self._ending.close(refusal, in_transaction, idle_s)

    def stop(self, times: StopTimes) -> None:
        """End the session as its instance stops, without cutting off an operation."""
        self._stop_times = times
        if self._operations is not None:
            self._operations.stop(times)
        if self._reading is not None:
            self._reading.deadline = min(
                self._reading.deadline, self._next_stop_step_at()
            )
        if self._answering is not None:
            self._answering.deadline = times.answer_by

    def _next_stop_step_at(self) -> float:
        """Time of the next step of a shutdown while the session waits for a message."""
        if self._stop_times is None:
            return inf
        if self._operations is None:
            return self._stop_times.answer_by
        if self._codec.has_partial_message:
            return self._stop_times.exit_at
        if self._notice is not None:
            # The notice was the last thing written, which set this time.
            return end_session_at(self._stop_times, self._active_at)
        return notify_session_at(
            self._stop_times, self._operations.in_transaction, self._active_at
        )

    async def _open(self) -> bool:
        handshake = await self._read_handshake()
        if handshake is None:
            return False
        self._account.waiting_since = None
        self._ending.database = handshake.database
        self._operations = SessionOperations(
            handshake,
            self._admission,
            self._broker,
            self._router,
            self._acknowledgements,
        )
        if self._stop_times is not None:
            self._operations.stop(self._stop_times)
        refusal = await self._operations.check_handshake()
        if refusal is not None:
            self._ending.reason = "refused"
            logging.info(
                "session: refused database=%s outcome=%s reason=%r",
                handshake.database,
                refusal.code,
                refusal.detail,
            )
        self._has_answered_handshake = True
        if not await self._write(self._codec.encode_handshake_reply(refusal)):
            return False
        return refusal is None

    async def _read_handshake(self) -> OpenSession | None:
        deadline = min(current_time() + HANDSHAKE_TIMEOUT_S, self._next_stop_step_at())
        with CancelScope(deadline=deadline) as self._reading:
            while (handshake := self._codec.next_handshake()) is None:
                if not await self._receive():
                    return None
            self._reading = None
            return handshake
        self._ending.reason = "handshake not complete in time"
        if current_time() >= self._next_stop_step_at():
            self._ending.reason = "refused at a stop"
        return None

    async def _serve(self) -> None:
        assert self._operations is not None
        while (request := await self._next_request()) is not None:
            self._ending.request_id = request.id
            if self._notice is None:
                answer = await self._answer(request)
                data = self._codec.encode_answer(answer)
            else:
                answer = self._operations.refuse(request, self._notice)
                data = self._codec.encode_answer_end(answer.phase)
                self._notice = None
            # The request and the rows are not kept while the caller reads.
            del request, answer
            self._hold(ANSWER_COPIES * len(data))
            if not await self._write(data):
                return
            self._ending.request_id = ""
            del data
            self._hold(0)

    async def _answer(self, request: SessionRequest) -> SessionAnswer:
        assert self._operations is not None
        arrived_at = current_time()
        deadline = self._stop_times.answer_by if self._stop_times else inf
        if not self._budget.may_hold(MESSAGE_COPIES * self._message_bytes):
            self._budget.refuse(PART, SHORT_OF_MEMORY, self._message_bytes)
            return self._operations.refuse(request, OVERLOADED)
        self._hold(MESSAGE_COPIES * self._message_bytes, is_running=True)
        try:
            with CancelScope(deadline=deadline) as self._answering:
                return await self._operations.answer(request)
        finally:
            self._answering = None
        return self._operations.give_up(request, current_time() - arrived_at)

    async def _next_request(self) -> SessionRequest | None:
        """Return the next request, None if the session has ended."""
        assert self._operations is not None
        # The first byte of a message does not extend the time of a transaction.
        idle_since = current_time()
        idle_until = idle_since + self._operations.idle_limit_s
        complete_by = inf
        while (message := self._next_message()) is None:
            if self._codec.has_partial_message and complete_by == inf:
                complete_by = current_time() + MESSAGE_TIMEOUT_S
            deadline = min(idle_until, complete_by, self._next_stop_step_at())
            if current_time() >= self._next_stop_step_at():
                if not await self._take_stop_step():
                    return None
                continue
            with CancelScope(deadline=deadline) as self._reading:
                if not await self._receive():
                    return None
            if current_time() >= complete_by:
                self._ending.reason = "message not complete in time"
                self._budget.refuse(PART, "message not complete in time")
                return None
            if self._reading.cancelled_caught and current_time() >= idle_until:
                idle_until = await self._check_idle_transaction(idle_since)
        self._reading = None
        if isinstance(message, SessionRequest):
            return message
        self._ending.reason = CALLER_CLOSED
        return None

    async def _check_idle_transaction(self, idle_since: float) -> float:
        """Roll the transaction back, or return the later end of its idle time.

        A version may have raised the limit since the last statement.
        """
        assert self._operations is not None
        idle_until = idle_since + await self._operations.renew_idle_limit()
        if current_time() < idle_until:
            return idle_until
        logging.info("session: idle transaction rolled back")
        self._operations.roll_back_idle_transaction()
        return inf

    def _stop_reason(self) -> str:
        assert self._operations is not None
        if self._operations.in_transaction or self._codec.has_partial_message:
            return "exit"
        return "idle at a stop"

    async def _take_stop_step(self) -> bool:
        """Take the next step of a shutdown; return whether the session goes on.

        What has arrived is read first. Otherwise the caller gets a closing notice, and
        the session ends if the caller has had one or has sent a part of a message.
        """
        if self._stream.socket.is_readable():
            return await self._receive()
        if self._notice is not None or self._codec.has_partial_message:
            self._ending.reason = self._stop_reason()
            return False
        assert self._operations is not None
        in_transaction = self._operations.in_transaction
        if in_transaction:
            self._operations.roll_back_idle_transaction()
        self._notice = closing_notice(in_transaction)
        return await self._write(self._codec.encode_closing_notice(self._notice))

    def _next_message(self) -> SessionRequest | CloseSession | None:
        """Return the next message and note its size."""
        received = self._codec.held_bytes
        message = self._codec.next_message()
        self._message_bytes = received - self._codec.held_bytes
        return message

    def _hold(self, more_bytes: int, is_running: bool = False) -> None:
        """State the memory of the session and of the message that it handles."""
        held = self._codec.held_bytes + more_bytes
        if self._operations is not None:
            held += self._operations.state_bytes
        self._account.hold(held, is_running)

    async def _receive(self) -> bool:
        data = await self._stream.receive_some(READ_CHUNK_BYTES)
        self._codec.receive(data)
        self._hold(0)
        if not data:
            self._ending.reason = CALLER_CLOSED
        return bool(data)

    async def _write(self, data: bytes) -> bool:
        timeout_s = WRITE_TIMEOUT_S
        if self._operations is not None:
            # An open transaction holds a member connection meanwhile.
            timeout_s = min(timeout_s, self._operations.idle_limit_s)
        with move_on_at(current_time() + timeout_s) as scope:
            await self._stream.send_all(data)
        self._active_at = current_time()
        if scope.cancelled_caught:
            self._ending.reason = "answer not read in time"
            self._budget.refuse(PART, "answer not read in time", len(data))
        return not scope.cancelled_caught
