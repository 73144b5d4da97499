"""Closes the connection of a caller's session."""

from errno import errorcode

from absl import logging
from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    SocketStream,
    aclose_forcefully,
    current_time,
)

from jackdawspread.messages.refusal import Refusal
from jackdawspread.tasks.end_stream import end_stream
from jackdawspread.tasks.limits.memory_account import MemoryAccount
from jackdawspread.tasks.sessions.dropped_input import DroppedInput
from jackdawspread.tasks.sessions.session_codec import SessionCodec
from jackdawspread.tasks.sessions.session_end import SessionEnd
from jackdawspread.tasks.sessions.session_end_log import (
    CONNECTION_FAILED,
    INVALID_MESSAGE,
    SessionEndLog,
)

# A connection that can't be closed in order by then is closed at once.
CLOSE_TIMEOUT_S = 1.0


class SessionEnding:
    """Closes the connection of a session, and logs why and what was dropped.

    Belongs to one `CallerSession`, whose task sets ``reason``, ``database`` and
    ``request_id`` as it learns them, and calls `close` once at the end.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.
    codec : SessionCodec
        Codec of the session.
    account : MemoryAccount
        What the session holds of the memory of the process.
    ends : SessionEndLog
        Receives the end.
    """

    def __init__(
        self,
        stream: SocketStream,
        codec: SessionCodec,
        account: MemoryAccount,
        ends: SessionEndLog,
    ) -> None:
        self._stream = stream
        self._codec = codec
        self._account = account
        self._ends = ends
        self.reason = "unexpected error"
        self.database = ""
        # The request whose answer has not been written.
        self.request_id = ""
        self._socket_error = ""

    def fail(self, error: BrokenResourceError | ClosedResourceError) -> None:
        """State that the connection has failed."""
        self.reason = CONNECTION_FAILED
        self._socket_error = _error_name(error)

    async def close(
        self, refusal: Refusal | None, in_transaction: bool, idle_s: float
    ) -> None:
        """Close the connection, also while the task is cancelled.

        Parameters
        ----------
        refusal : Refusal or None
            Answer to a handshake that has not been answered.
        in_transaction : bool
            Whether a transaction was open.
        idle_s : float
            Seconds since the last answer was written.
        """
        dropped = DroppedInput(self._codec)
        try:
            with CancelScope(shield=True, deadline=current_time() + CLOSE_TIMEOUT_S):
                await self._close(refusal, dropped)
        finally:
            self._log(dropped, in_transaction, idle_s)

    async def _close(self, refusal: Refusal | None, dropped: DroppedInput) -> None:
        if self._account.scope.cancel_called:
            # The memory is needed at once.
            await aclose_forcefully(self._stream)
            return
        try:
            if refusal is not None:
                answer = self._codec.encode_handshake_reply(refusal)
                await self._stream.send_all(answer)
            await end_stream(self._stream, dropped.receive)
        except (BrokenResourceError, ClosedResourceError):
            logging.vlog(1, "session: the caller closed the connection first")
        finally:
            await self._stream.aclose()

    def _log(self, dropped: DroppedInput, in_transaction: bool, idle_s: float) -> None:
        # Before the handshake, and after an invalid message, there are no requests.
        is_decodable = self.database and self.reason != INVALID_MESSAGE
        self._ends.write(
            SessionEnd(
                self.reason,
                self.database,
                self._socket_error,
                self.request_id,
                in_transaction,
                idle_s,
                dropped.size,
                dropped.request_ids() if is_decodable else (),
            )
        )


def _error_name(error: BrokenResourceError | ClosedResourceError) -> str:
    """Return the name of the error of the socket, such as ETIMEDOUT."""
    cause = error.__cause__
    if isinstance(cause, OSError) and cause.errno is not None:
        return errorcode.get(cause.errno, str(cause.errno))
    return type(error).__name__
