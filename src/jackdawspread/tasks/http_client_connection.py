"""Client side of one HTTP connection."""

from h11 import RemoteProtocolError
from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    MemoryReceiveChannel,
    SocketStream,
    current_time,
)

from jackdawspread.codecs.http_client_codec import HttpClientCodec
from jackdawspread.codecs.untyped_json import decode_object, encode_json
from jackdawspread.messages.http_call import HttpCall
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.open_stream import open_stream

READ_CHUNK_BYTES = 64 * 1024
# The response to a GET may take as long as the link needs; it is given up after this
# time without a byte.
STALL_TIMEOUT_S = 1.5


class HttpClientConnection:
    """Owns one outgoing socket and sends the calls of its inbox in order.

    The connection ends with the first failed call. A connection with an outstanding
    response is never reused, so a late response is discarded. The deadline of a call
    holds for the whole response, but for a GET only for its first byte.

    Parameters
    ----------
    id : int
        Id of the connection, unique in the process.
    address : str
        ``IP:port`` of the server.
    inbox : trio.MemoryReceiveChannel
        Calls to send; the connection closes when the channel does.
    """

    def __init__(
        self, id: int, address: str, inbox: MemoryReceiveChannel[HttpCall]
    ) -> None:
        self._id = id
        self._address = address
        self._inbox = inbox
        self._codec = HttpClientCodec(address)
        self._stream: SocketStream | None = None
        # Bytes of the current response, and when the first one arrived.
        self._received_bytes = 0
        self._began_at = 0.0
        self._is_calling = False
        self._scope = CancelScope()

    @property
    def is_receiving(self) -> bool:
        """Whether a part of the response to the current call has arrived."""
        return self._is_calling and self._received_bytes > 0

    def close(self) -> None:
        """Close the connection, also while a call is in progress."""
        self._scope.cancel()

    async def run(self) -> None:
        """Send calls until the inbox closes or a call fails."""
        try:
            with self._scope:
                await self._serve()
        finally:
            self._inbox.close()
            if self._stream is not None:
                with CancelScope(shield=True, deadline=current_time() + 1):
                    await self._stream.aclose()

    async def _serve(self) -> None:
        async for call in self._inbox:
            outcome = await self._call(call)
            _reply(call, outcome)
            if outcome.error or not self._codec.is_reusable:
                break
            self._codec.start_next()

    async def _call(self, call: HttpCall) -> HttpOutcome:
        self._received_bytes, self._began_at = 0, 0.0
        self._is_calling = True
        outcome = await self._try_call(call)
        self._is_calling = False
        return outcome._replace(
            received_bytes=self._received_bytes, began_at=self._began_at
        )

    async def _try_call(self, call: HttpCall) -> HttpOutcome:
        sent = False
        with CancelScope(deadline=call.deadline) as scope:
            try:
                if self._stream is None:
                    self._stream = await open_stream(self._address)
                sent = True
                return await self._exchange(call, scope)
            except (
                OSError,
                BrokenResourceError,
                ClosedResourceError,
                RemoteProtocolError,
                ValueError,
            ) as error:
                reason = f"connection failed: {error or type(error).__name__}"
                return HttpOutcome(call.id, self._id, 0, {}, sent, reason)
        assert scope.cancelled_caught
        return HttpOutcome(call.id, self._id, 0, {}, sent, "no answer in time")

    async def _exchange(self, call: HttpCall, scope: CancelScope) -> HttpOutcome:
        assert self._stream is not None
        request_body = b"" if call.method == "GET" else encode_json(call.body)
        encoded = self._codec.encode(
            call.method, call.target, request_body, call.headers
        )
        await self._stream.send_all(encoded)
        while True:
            response = self._codec.next_response()
            if response is not None:
                body = decode_object(response.body or b"{}")
                headers = dict(response.headers)
                return HttpOutcome(
                    call.id, self._id, response.status, body, True, headers=headers
                )
            data = await self._stream.receive_some(READ_CHUNK_BYTES)
            if data and not self._received_bytes:
                self._began_at = seconds_since_boot()
            self._received_bytes += len(data)
            if call.method == "GET":
                scope.deadline = max(scope.deadline, current_time() + STALL_TIMEOUT_S)
            self._codec.receive(data)
            if not data:
                raise BrokenResourceError("closed by the other end")


def _reply(call: HttpCall, outcome: HttpOutcome) -> None:
    try:
        call.reply_to.send_nowait(outcome)
    except BrokenResourceError:
        return
