"""Steps for errors that must not end the process."""

from errno import EMFILE

from behave import given, then, when
from behave.runner import Context
from features.support.trio_thread import TrioThread
from features.wire.wire_caller import WireCaller
from trio import (
    Event,
    SocketListener,
    SocketStream,
    fail_after,
    open_memory_channel,
    open_nursery,
    open_tcp_listeners,
    open_tcp_stream,
)

from jackdawspread.decisions.limits.memory_limits import UNLIMITED
from jackdawspread.messages.fleet.admission_request import AdmissionRequest
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.platform.caller_wire_codec import CallerWireCodec
from jackdawspread.tasks.http_server import HttpServer
from jackdawspread.tasks.limits.memory_budget import MemoryBudget
from jackdawspread.tasks.sessions.session_listener import SessionListener

TIMEOUT_S = 2.0


class FailingCodec(CallerWireCodec):
    """Fails while it decodes the first message."""

    def next_handshake(self) -> None:
        """Raise an error that no caller of the codec expects."""
        raise RuntimeError("a fault in the codec")


class FullListener:
    """Fails to accept once, as a process without free file descriptors does."""

    def __init__(self, listener: SocketListener) -> None:
        self._listener = listener
        self._has_failed = False

    async def accept(self) -> SocketStream:
        """Accept a connection, but not at the first call."""
        if not self._has_failed:
            self._has_failed = True
            raise OSError(EMFILE, "too many open files")
        return await self._listener.accept()


@given("a listener whose first session fails with an unexpected error")
def failing_listener(context: Context) -> None:
    """Run a listener with a codec that fails once."""
    context.thread = TrioThread(real_time=True)
    context.add_cleanup(context.thread.stop)
    ready = Event()
    context.thread.start(_listen, context, ready)
    context.thread.call(ready.wait)


async def _listen(context: Context, ready: Event) -> None:
    (listener,) = await open_tcp_listeners(0, host="127.0.0.1")
    context.address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    codecs = iter((FailingCodec, CallerWireCodec))
    channel, inbox = open_memory_channel(10)
    sessions = SessionListener(
        listener,
        lambda: next(codecs)(),
        channel,
        channel,
        channel,
        10,
        MemoryBudget(UNLIMITED),
        channel,
    )
    async with open_nursery() as nursery:
        nursery.start_soon(sessions.run)
        ready.set()
        async for event in inbox:
            assert isinstance(event, AdmissionRequest), event
            event.reply_to.send_nowait("admitted")


@when("two callers connect one after the other")
def two_callers(context: Context) -> None:
    """Open two sessions; each reads the first line of its answer."""
    context.opened = []
    for _ in range(2):
        caller = context.thread.call(_open, context.address)
        context.opened.append(caller.opened)


async def _open(address: str) -> WireCaller:
    with fail_after(TIMEOUT_S):
        return await WireCaller.open(address, "db", "key")


@then("the first session is closed")
def first_closed(context: Context) -> None:
    """It gets no answer."""
    assert context.opened[0] == "", context.opened


@then("the second caller is answered")
def second_answered(context: Context) -> None:
    """It is served by the same process."""
    assert context.opened[1].startswith("READY"), context.opened


@given("an HTTP server that can't accept its first connection")
def full_server(context: Context) -> None:
    """Run a server whose listener fails once."""
    context.thread = TrioThread(real_time=True)
    context.add_cleanup(context.thread.stop)
    ready = Event()
    context.thread.start(_serve, context, ready)
    context.thread.call(ready.wait)


async def _serve(context: Context, ready: Event) -> None:
    (listener,) = await open_tcp_listeners(0, host="127.0.0.1")
    context.port = listener.socket.getsockname()[1]

    async def handle(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, (), b"ready")

    ready.set()
    await HttpServer(FullListener(listener), handle, Event()).run()


@when("a request is sent to it")
def send_request(context: Context) -> None:
    """Send one request and read the first line of the response."""

    async def request() -> bytes:
        with fail_after(TIMEOUT_S):
            stream = await open_tcp_stream("127.0.0.1", context.port)
            await stream.send_all(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            return await stream.receive_some(100)

    context.response = context.thread.call(request)


@then("the request is answered")
def request_answered(context: Context) -> None:
    """Check the status line."""
    assert b" 200 " in context.response, context.response
