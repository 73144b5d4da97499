"""HTTP connection with its own headers, used by one task."""

from h11 import RemoteProtocolError
from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    SocketStream,
    current_time,
    open_tcp_stream,
)

from bench.client.client_reply import ClientReply
from jackdawspread.codecs.http_client_codec import HttpClientCodec

Headers = tuple[tuple[str, str], ...]
READ_CHUNK_BYTES = 64 * 1024


class HttpConnection:
    """Calls one address over one socket, which is opened again after a failure.

    Parameters
    ----------
    address : str
        ``IP:port`` of the other end.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._codec = HttpClientCodec(address)
        self._stream: SocketStream | None = None

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Headers = (),
        timeout: float = 10.0,
    ) -> ClientReply:
        """Make one call and return its reply; failures are replies of status 0."""
        sent, reply = False, None
        with CancelScope(deadline=current_time() + timeout):
            try:
                if self._stream is None:
                    host, port = self.address.rsplit(":", 1)
                    self._codec = HttpClientCodec(self.address)
                    self._stream = await open_tcp_stream(host, int(port))
                sent = True
                data = self._codec.encode(method, target, body, headers)
                await self._stream.send_all(data)
                reply = await self._receive()
            except (
                OSError,
                BrokenResourceError,
                ClosedResourceError,
                RemoteProtocolError,
            ) as error:
                reason = str(error) or type(error).__name__
                reply = ClientReply(0, {}, b"", sent, reason)
        if reply is None or not reply.status or not self._codec.is_reusable:
            await self.aclose()
        else:
            self._codec.start_next()
        return reply or ClientReply(0, {}, b"", sent, "no answer in time")

    async def aclose(self) -> None:
        """Close the socket, if it is open."""
        stream, self._stream = self._stream, None
        if stream is not None:
            with CancelScope(shield=True, deadline=current_time() + 1):
                await stream.aclose()

    async def _receive(self) -> ClientReply:
        assert self._stream is not None
        while True:
            response = self._codec.next_response()
            if response is not None:
                headers = {name.lower(): value for name, value in response.headers}
                return ClientReply(response.status, headers, response.body, True)
            data = await self._stream.receive_some(READ_CHUNK_BYTES)
            self._codec.receive(data)
            if not data:
                raise BrokenResourceError("closed by the other end")
