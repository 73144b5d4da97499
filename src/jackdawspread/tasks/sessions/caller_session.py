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
from jackdawspread.messages.statements.open_session import OpenSession
from jackdawspread.messages.statements.session_request import SessionRequest
from jackdawspread.tasks.sessions.session_codec import SessionCodec
from jackdawspread.tasks.sessions.session_operations import SessionOperations

READ_CHUNK_BYTES = 16 * 1024
OPENING_S = 10.0
# A caller that does not read its answer for this long loses the session.
WRITE_S = 10.0
# Bytes that a caller sent while its session was closed are read for this long, as
# closing with unread bytes would reset the connection.
LINGER_S = 0.1


class CallerSession:
    """Owns one caller's socket and answers its statements in order.

    Parameters
    ----------
    stream : trio.SocketStream
        The accepted socket.
    codec : SessionCodec
        Protocol of the caller.
    admission, router : trio.MemorySendChannel
        Inboxes of the admission task and the member router.
    """

    def __init__(
        self,
        stream: SocketStream,
        codec: SessionCodec,
        admission: MemorySendChannel[AdmissionEvent],
        router: MemorySendChannel[RouterEvent],
    ) -> None:
        self._stream = stream
        self._codec = codec
        self._admission = admission
        self._router = router
        self._operations: SessionOperations | None = None
        self._reading: CancelScope | None = None
        self._stopping = False
        self._abort_open = False

    async def run(self) -> None:
        """Serve until the caller leaves or the session is stopped."""
        try:
            if await self._open():
                await self._serve()
        except (BrokenResourceError, ClosedResourceError):
            # The caller has left; there is nobody to tell.
            return
        except ValueError as error:
            logging.warning("session: closed, bytes not understood reason=%r", error)
        finally:
            if self._operations is not None:
                self._operations.close()
            with CancelScope(shield=True, deadline=current_time() + 1):
                await self._close()

    def stop(self, abort_open_transactions: bool) -> None:
        """Close the session at rest; an open transaction only if told so."""
        self._stopping = True
        self._abort_open = abort_open_transactions
        if self._reading is not None and self._at_rest():
            self._reading.cancel()

    def _at_rest(self) -> bool:
        if self._codec.has_partial_message:
            return False
        if self._operations is None or not self._operations.in_transaction:
            return True
        return self._abort_open

    async def _open(self) -> bool:
        opening = await self._read_opening()
        if opening is None:
            return False
        operations = SessionOperations(opening, self._admission, self._router)
        refusal = await operations.check_opening()
        if refusal is not None:
            logging.info(
                "session: refused database=%s outcome=%s reason=%r",
                opening.database,
                refusal.code,
                refusal.detail,
            )
        if not await self._write(self._codec.encode_handshake_reply(refusal)):
            return False
        self._operations = operations
        return refusal is None

    async def _read_opening(self) -> OpenSession | None:
        with move_on_at(current_time() + OPENING_S):
            while (opening := self._codec.next_handshake()) is None:
                if not await self._receive():
                    return None
            return opening
        return None

    async def _serve(self) -> None:
        assert self._operations is not None
        while (request := await self._next_request()) is not None:
            answer = await self._operations.answer(request)
            if not await self._write(self._codec.encode_answer(answer)):
                return

    async def _next_request(self) -> SessionRequest | None:
        """Return the next request, None when the session has ended."""
        assert self._operations is not None
        while (message := self._codec.next_message()) is None:
            if self._stopping and self._at_rest():
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
                self._operations.abort_idle()
        self._reading = None
        return message if isinstance(message, SessionRequest) else None

    async def _receive(self) -> bool:
        data = await self._stream.receive_some(READ_CHUNK_BYTES)
        self._codec.receive(data)
        return bool(data)

    async def _write(self, data: bytes) -> bool:
        with move_on_at(current_time() + WRITE_S) as scope:
            await self._stream.send_all(data)
        return not scope.cancelled_caught

    async def _close(self) -> None:
        try:
            await self._stream.send_eof()
            with move_on_at(current_time() + LINGER_S):
                while await self._stream.receive_some(READ_CHUNK_BYTES):
                    pass
        except (BrokenResourceError, ClosedResourceError):
            logging.vlog(1, "session: the caller closed first")
        await self._stream.aclose()
