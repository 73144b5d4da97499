"""Client side of HTTP/1.1 over h11, without I/O."""

from h11 import (
    CLIENT,
    NEED_DATA,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    Request,
    Response,
)

from jackdawspread.messages.http_response import HttpResponse

MAX_RESPONSE_BYTES = 8 * 1024 * 1024


class HttpClientCodec:
    """Encodes requests to bytes and decodes received bytes to responses."""

    def __init__(self, host: str) -> None:
        self._connection = Connection(CLIENT)
        self._host = host
        self._head: Response | None = None
        self._chunks: list[bytes] = []

    def encode(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> bytes:
        """Encode one request."""
        fields = [("Host", self._host), ("Content-Length", str(len(body))), *headers]
        head = Request(method=method, target=target, headers=fields)
        parts = [self._connection.send(head)]
        if body:
            parts.append(self._connection.send(Data(data=body)))
        parts.append(self._connection.send(EndOfMessage()))
        return b"".join(part for part in parts if part)

    def receive(self, data: bytes) -> None:
        """Add bytes read from the socket; empty bytes mean end of file."""
        self._connection.receive_data(data)

    def next_response(self) -> HttpResponse | None:
        """Return the complete response, or None if more bytes are needed.

        Raises
        ------
        h11.RemoteProtocolError
            If the bytes are not valid HTTP, or the connection was closed within a
            response.
        """
        while True:
            event = self._connection.next_event()
            if event is NEED_DATA or isinstance(event, ConnectionClosed):
                return None
            if isinstance(event, Response):
                self._head = event
            elif isinstance(event, Data):
                self._chunks.append(bytes(event.data))
            elif isinstance(event, EndOfMessage):
                return self._finish_response()

    def _finish_response(self) -> HttpResponse:
        assert self._head is not None
        headers = tuple(
            (k.decode("ascii"), v.decode("latin-1")) for k, v in self._head.headers
        )
        response = HttpResponse(self._head.status_code, headers, b"".join(self._chunks))
        self._head, self._chunks = None, []
        return response

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can be used for another request."""
        return self._connection.our_state.__name__ == "DONE" and (
            self._connection.their_state.__name__ == "DONE"
        )

    def start_next(self) -> None:
        """Prepare for the next request on the same connection."""
        self._connection.start_next_cycle()
