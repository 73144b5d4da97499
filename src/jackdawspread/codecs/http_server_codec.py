"""Server side of HTTP/1.1 over h11, without I/O."""

from h11 import (
    NEED_DATA,
    PAUSED,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    RemoteProtocolError,
    Request,
    Response,
)

from jackdawspread.codecs.untyped_json import encode_json
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.messages.refusal import Refusal

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 1024 * 1024


class HttpServerCodec:
    """Decodes received bytes to requests and encodes responses to bytes."""

    def __init__(self) -> None:
        self._connection = Connection(SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head: Request | None = None
        # One object, because a body of many small chunks would take far more memory
        # than its bytes.
        self._body = bytearray()
        self._method = ""

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can be used for another request."""
        return self._connection.our_state.__name__ in ("IDLE", "DONE")

    @property
    def held_bytes(self) -> int:
        """Number of received bytes of a request that is not complete."""
        return len(self._body) + len(self._connection.trailing_data[0])

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a further request has been received."""
        return self._head is None and not self._connection.trailing_data[0]

    def receive(self, data: bytes) -> None:
        """Add bytes read from the socket; empty bytes mean end of file."""
        self._connection.receive_data(data)

    def next_request(self) -> HttpRequest | HttpResponse | None:
        """Return the next request, an error response, or None.

        The error response answers a request that is not valid. None means that more
        bytes are needed.
        """
        try:
            return self._read_events()
        except RemoteProtocolError as error:
            return _refuse(error.error_status_hint or 400, str(error))

    def _read_events(self) -> HttpRequest | HttpResponse | None:
        while True:
            event = self._connection.next_event()
            if event is NEED_DATA or event is PAUSED:
                return None
            if isinstance(event, Request):
                # A 2xx answer to CONNECT would turn the connection into a tunnel.
                if event.method == b"CONNECT":
                    return _refuse(405, "CONNECT is not supported")
                self._head = event
            elif isinstance(event, Data):
                if len(self._body) + len(event.data) > MAX_BODY_BYTES:
                    return _refuse(413, f"body exceeds {MAX_BODY_BYTES} bytes")
                self._body += event.data
            elif isinstance(event, EndOfMessage):
                return self._finish_request()
            elif isinstance(event, ConnectionClosed):
                return None

    def _finish_request(self) -> HttpRequest:
        assert self._head is not None
        head = self._head
        request = HttpRequest(
            head.method.decode("ascii"),
            head.target.decode("ascii"),
            {k.decode("ascii"): v.decode("latin-1") for k, v in head.headers},
            bytes(self._body),
        )
        self._head, self._body = None, bytearray()
        self._method = request.method
        return request

    def encode(self, response: HttpResponse, close: bool) -> bytes:
        """Encode a response; `close` adds the header ``Connection: close``."""
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        if close:
            headers.append(("Connection", "close"))
        head = Response(status_code=response.status, headers=headers)
        parts = [self._connection.send(head)]
        if response.body and self._method != "HEAD":
            parts.append(self._connection.send(Data(data=response.body)))
        parts.append(self._connection.send(EndOfMessage()))
        return b"".join(part for part in parts if part)

    def start_next(self) -> None:
        """Prepare for the next request on the same connection."""
        self._method = ""
        self._connection.start_next_cycle()


def refuse_overloaded() -> HttpResponse:
    """Return the response to a request for which there is no memory."""
    detail = "the instance is short of memory"
    refusal = Refusal("overloaded", ExecutionStatus.NOT_RUN, "parse", "", detail)
    return _encode_refusal(503, refusal)


def _refuse(status: int, detail: str) -> HttpResponse:
    refusal = Refusal("malformed_request", ExecutionStatus.NOT_RUN, "parse", "", detail)
    return _encode_refusal(status, refusal)


def _encode_refusal(status: int, refusal: Refusal) -> HttpResponse:
    headers = (("Content-Type", "application/json"),)
    return HttpResponse(status, headers, encode_json(refusal._asdict()))
