"""Session of one caller."""

from absl import logging
from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    MemorySendChannel,
    SocketStream,
    current_time,
    move_on_at,
)

from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.pool_hosts.lease_broker_event import LeaseBrokerEvent
from jackdawspread.messages.statements.open_session import OpenSession
from jackdawspread.messages.statements.session_request import SessionRequest
from jackdawspread.tasks.sessions.session_codec import SessionCodec
from jackdawspread.tasks.sessions.session_operations import SessionOperations

READ_CHUNK_BYTES = 16 * 1024
HANDSHAKE_TIMEOUT_S = 10.0
# The session of a caller that does not read its answer for this long is closed.
WRITE_TIMEOUT_S = 10.0
# After the last answer the session reads and drops further bytes of the caller for
# this long, because closing a socket with unread bytes resets the connection.
LINGER_TIMEOUT_S = 0.1
# At a graceful shutdown a session is closed only after it has been idle for this long.
# A caller that has just been answered may already have sent its next statement.
CLOSE_AFTER_IDLE_S = 0.25


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
    """

    def __init__(
        self,
        stream: SocketStream,
        codec: SessionCodec,
        admission: MemorySendChannel[AdmissionEvent],
        broker: MemorySendChannel[LeaseBrokerEvent],
        router: MemorySendChannel[RouterEvent],
    ) -> None:
        self._stream = stream
        self._codec = codec
        self._admission = admission
        self._broker = broker
        self._router = router
        self._operations: SessionOperations | None = None
        self._reading: CancelScope | None = None
        self._stopping = False
        self._abort_open_transactions = False
        self._active_at = current_time()

    async def run(self) -> None:
        """Serve until the caller disconnects or the session is stopped."""
        try:
            if await self._open():
                await self._serve()
        except (BrokenResourceError, ClosedResourceError):
            # The caller has disconnected, so no answer can be sent.
            return
        except ValueError as error:
            logging.warning("session: closed, cannot decode message reason=%r", error)
        finally:
            if self._operations is not None:
                self._operations.close()
            with CancelScope(shield=True, deadline=current_time() + 1):
                await self._close()

    def stop(self, abort_open_transactions: bool) -> None:
        """Close the session once it is idle.

        A session with an open transaction counts as idle only if
        ``abort_open_transactions`` is set.
        """
        self._stopping = True
        self._abort_open_transactions = abort_open_transactions
        if self._reading is not None and self._is_idle():
            self._reading.cancel()

    def _is_idle(self) -> bool:
        if self._codec.has_partial_message:
            return False
        if self._abort_open_transactions:
            return True
        if current_time() < self._active_at + CLOSE_AFTER_IDLE_S:
            return False
        return self._operations is None or not self._operations.in_transaction

    async def _open(self) -> bool:
        handshake = await self._read_handshake()
        if handshake is None:
            return False
        operations = SessionOperations(
            handshake, self._admission, self._broker, self._router
        )
        refusal = await operations.check_handshake()
        if refusal is not None:
            logging.info(
                "session: refused database=%s outcome=%s reason=%r",
                handshake.database,
                refusal.code,
                refusal.detail,
            )
        if not await self._write(self._codec.encode_handshake_reply(refusal)):
            return False
        self._operations = operations
        return refusal is None

    async def _read_handshake(self) -> OpenSession | None:
        with move_on_at(current_time() + HANDSHAKE_TIMEOUT_S):
            while (handshake := self._codec.next_handshake()) is None:
                if not await self._receive():
                    return None
            return handshake
        return None

    async def _serve(self) -> None:
        assert self._operations is not None
        while (request := await self._next_request()) is not None:
            answer = await self._operations.answer(request)
            if not await self._write(self._codec.encode_answer(answer)):
                return

    async def _next_request(self) -> SessionRequest | None:
        """Return the next request, None if the session has ended."""
        assert self._operations is not None
        while (message := self._codec.next_message()) is None:
            if self._stopping and self._is_idle():
                return None
            deadline = current_time() + self._operations.idle_limit_s
            with CancelScope(deadline=deadline) as self._reading:
                if not await self._receive():
                    return None
            if not self._reading.cancelled_caught:
                continue
            self._reading = None
            if not self._stopping:
                logging.info("session: idle transaction rolled back")
                self._operations.roll_back_idle_transaction()
        self._reading = None
        return message if isinstance(message, SessionRequest) else None

    async def _receive(self) -> bool:
        data = await self._stream.receive_some(READ_CHUNK_BYTES)
        self._codec.receive(data)
        return bool(data)

    async def _write(self, data: bytes) -> bool:
        with move_on_at(current_time() + WRITE_TIMEOUT_S) as scope:
            await self._stream.send_all(data)
        self._active_at = current_time()
        return not scope.cancelled_caught

    async def _close(self) -> None:
        try:
            await self._stream.send_eof()
            with move_on_at(current_time() + LINGER_TIMEOUT_S):
                while await self._stream.receive_some(READ_CHUNK_BYTES):
                    pass
        except (BrokenResourceError, ClosedResourceError):
            logging.vlog(1, "session: the caller closed the connection first")
        await self._stream.aclose()
