"""Server side of one HTTP connection."""

from collections.abc import Awaitable, Callable
from math import inf

from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    Event,
    SocketStream,
    current_time,
    move_on_at,
)

from jackdawspread.codecs.http_server_codec import HttpServerCodec, refuse_overloaded
from jackdawspread.decisions.limits.memory_limits import UNLIMITED
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.tasks.limits.memory_account import MemoryAccount
from jackdawspread.tasks.limits.memory_budget import SHORT_OF_MEMORY, MemoryBudget

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]

READ_CHUNK_BYTES = 16 * 1024
REQUEST_READ_TIMEOUT_S = 10.0
RESPONSE_WRITE_TIMEOUT_S = 30.0
# When the server stops, an idle connection is closed only after this time without a
# request. A client that has just been answered may already have sent the next one.
CLOSE_AFTER_IDLE_S = 0.25
# Copies of a body that exist while it is handled or written.
BODY_COPIES = 3
# Memory of a connection without a request.
IDLE_BYTES = 16 * 1024


class HttpServerConnection:
    """Owns one accepted socket and answers its requests in order.

    Parameters
    ----------
    stream : trio.SocketStream
        The accepted socket.
    handle : callable
        Coroutine function that returns the response to one request; runs in this
        task.
    stopping : trio.Event
        Set when the server stops; the connection then closes once it stays idle.
    budget : MemoryBudget or None
        Memory of all connections; None for a connection of its own.
    account : MemoryAccount or None
        What this connection holds of it.
    """

    def __init__(
        self,
        stream: SocketStream,
        handle: Handler,
        stopping: Event,
        budget: MemoryBudget | None = None,
        account: MemoryAccount | None = None,
    ) -> None:
        self._budget = budget or MemoryBudget(UNLIMITED)
        self._account = account or self._budget.open_account("http", IDLE_BYTES)
        self._stream = stream
        self._handle = handle
        self._stopping = stopping
        self._codec = HttpServerCodec()
        self._read_scope: CancelScope | None = None

    async def run(self) -> None:
        """Serve until the client or the server closes the connection."""
        try:
            with self._account.scope:
                while await self._serve_one():
                    pass
        except (BrokenResourceError, ClosedResourceError):
            return
        finally:
            with CancelScope(shield=True, deadline=current_time() + 1):
                await self._stream.aclose()

    def stop(self) -> None:
        """Close the connection unless a request is being read or answered, or comes."""
        if self._read_scope is not None and self._codec.is_idle:
            self._read_scope.deadline = self._idle_until()

    def _idle_until(self) -> float:
        """Time at which the connection is closed if no byte of a request comes."""
        if self._stopping.is_set() and self._codec.is_idle:
            return current_time() + CLOSE_AFTER_IDLE_S
        return inf

    async def _serve_one(self) -> bool:
        request = await self._read_request()
        if request is None:
            return False
        if isinstance(request, HttpResponse):
            await self._write(request, close=True)
            return False
        response = await self._answer(request)
        del request
        self._account.waiting_since = current_time()
        self._account.hold(BODY_COPIES * len(response.body))
        close = self._stopping.is_set()
        if not await self._write(response, close) or not self._codec.is_reusable:
            return False
        self._codec.start_next()
        return not close

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        """Handle a request unless its body takes more memory than there is."""
        body_bytes = BODY_COPIES * len(request.body)
        if not self._budget.may_hold(body_bytes):
            self._budget.refuse(self._account.part, SHORT_OF_MEMORY, body_bytes)
            return refuse_overloaded()
        self._account.waiting_since = None
        self._account.hold(body_bytes, is_running=True)
        return await self._handle(request)

    async def _read_request(self) -> HttpRequest | HttpResponse | None:
        read_until = inf
        while True:
            if (request := self._codec.next_request()) is not None:
                return request
            if not self._codec.is_idle and read_until == inf:
                read_until = current_time() + REQUEST_READ_TIMEOUT_S
            deadline = min(read_until, self._idle_until())
            with CancelScope(deadline=deadline) as self._read_scope:
                data = await self._stream.receive_some(READ_CHUNK_BYTES)
            if self._read_scope.cancelled_caught or not data:
                return None
            self._codec.receive(data)
            self._account.hold(self._codec.held_bytes)

    async def _write(self, response: HttpResponse, close: bool) -> bool:
        """Write a response; return false if the client does not read it in time."""
        with move_on_at(current_time() + RESPONSE_WRITE_TIMEOUT_S) as scope:
            await self._stream.send_all(self._codec.encode(response, close))
        return not scope.cancelled_caught
