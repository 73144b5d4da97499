"""Steps for callers of an instance that stops."""

import socket

from behave import given, then, when
from behave.runner import Context
from features.support.trio_thread import TrioThread
from features.wire.wire_caller import WireCaller
from trio import (
    BrokenResourceError,
    Event,
    SocketStream,
    current_time,
    fail_after,
    open_memory_channel,
    open_nursery,
    open_tcp_listeners,
    open_tcp_stream,
    sleep,
)
from trio.socket import from_stdlib_socket

from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.tasks.http_server import HttpServer
from jackdawspread.tasks.open_work import wait_for_open_work

CALLERS = 6
TIMEOUT_S = 5.0
# Between two statements of a transaction.
PAUSE_S = 0.05
GRACE_S = 6.0
STATEMENTS = ("BEGIN", "WRITE late 1", "READ late", "COMMIT")
DATABASE, KEY = "primary-db", "key-of-w1"


@when("it begins to stop while callers keep opening sessions for one transaction each")
def transactions_while_stopping(context: Context) -> None:
    """Run short transactions until the instance accepts no connection any more."""
    context.transactions = []
    context.platform.stop()
    context.platform.call(_run_callers, context)


async def _run_callers(context: Context) -> None:
    until = current_time() + GRACE_S
    async with open_nursery() as nursery:
        for number in range(CALLERS):
            nursery.start_soon(_run_transactions, context, number, until)


async def _run_transactions(context: Context, number: int, until: float) -> None:
    await sleep(number * PAUSE_S / CALLERS)
    while current_time() < until:
        try:
            context.transactions.append(await _run_transaction(context.platform))
        except (OSError, BrokenResourceError):
            # The instance has exited before START was answered.
            return
        await sleep(PAUSE_S)


async def _run_transaction(platform) -> list[str]:
    """Return the first line of the answer to START and to each statement."""
    caller = await WireCaller.open(platform.address, DATABASE, KEY)
    lines = [caller.opened]
    for text in STATEMENTS:
        if not lines[-1].startswith(("READY", "DONE", "ROW")):
            break
        try:
            lines.append((await caller.query(text))[0])
        except BrokenResourceError:
            lines.append("")
        await sleep(PAUSE_S)
    return lines


@then("every transaction was answered to its end or refused before it began")
def none_cut_off(context: Context) -> None:
    """Only START and BEGIN are refused, and no answer is missing after BEGIN."""
    begun = [lines for lines in context.transactions if len(lines) > 2]
    cut_off = [lines for lines in begun if not lines[-1].startswith("DONE")]
    assert not cut_off, cut_off
    assert all(len(lines) == 1 + len(STATEMENTS) for lines in begun), begun
    refused = [lines for lines in context.transactions if len(lines) <= 2]
    # START may meet the exit of the process and get no answer; BEGIN has to get one.
    wrong = [t for t in refused if not t[-1].startswith("ERR BUSY") and t != [""]]
    assert not wrong, wrong


@then("transactions that began after the stop were committed")
def some_committed(context: Context) -> None:
    """An instance serves while the load balancer still sends it callers."""
    committed = [t for t in context.transactions if len(t) == 1 + len(STATEMENTS)]
    assert len(committed) >= CALLERS, context.transactions


@when("a caller writes in a transaction and waits until the stop refuses statements")
def outlast_stop(context: Context) -> None:
    """Send statements until about four fifths of the grace time have passed."""
    caller = context.platform.open()
    for text in ("BEGIN", "WRITE outlast 1"):
        assert context.platform.query(caller, text)[0].startswith("DONE")
    context.platform.stop()
    for _ in range(2):
        context.platform.call(sleep, 0.26 * GRACE_S)
        context.answer = context.platform.query(caller, "READ outlast")
    assert context.answer[0].startswith("ROW"), context.answer
    context.platform.call(sleep, 0.26 * GRACE_S)
    context.answer = context.platform.query(caller, "WRITE outlast 2")


@then("its next statement is refused with ABORTED, and nothing is kept")
def told_aborted(context: Context) -> None:
    """The members have rolled the transaction back."""
    assert context.answer[0].startswith("ERR ABORTED"), context.answer
    assert context.answer[1] == "READY E -", context.answer
    items = context.platform.group.item_by_name
    assert "outlast" not in items, items


@when("it begins to stop while a caller's commit waits for a silent member")
def overtaken_commit(context: Context) -> None:
    """Commit on a route that allows more time than the stop has left."""
    for route in context.platform.configuration["Routes"]:
        route["TimeoutMs"] = 1000 * 3 * GRACE_S
    context.platform.publish()
    caller = context.platform.open()
    for text in ("BEGIN", "WRITE silent 1"):
        assert context.platform.query(caller, text)[0].startswith("DONE")
    context.platform.group.is_silent = True
    context.platform.stop()
    context.answer = context.platform.query(caller, "COMMIT")


@then("the commit is answered with INDOUBT")
def answered_in_doubt(context: Context) -> None:
    """The answer comes before the process ends."""
    assert context.answer[0].startswith("ERR INDOUBT"), context.answer


@given("an HTTP server with {number:d} idle connections")
def idle_connections(context: Context, number: int) -> None:
    """Open connections that have brought one request already."""

    async def use() -> None:
        for _ in range(number):
            stream = await open_tcp_stream("127.0.0.1", context.port)
            assert b" 200 " in await _request(stream)
            context.streams.append(stream)

    _start_server(context)
    context.thread.call(use)


@given("an HTTP server with {number:d} connections that it has not accepted")
def waiting_connections(context: Context, number: int) -> None:
    """Connect without a checkpoint, so that the server can't accept meanwhile."""

    async def connect() -> None:
        for _ in range(number):
            connected = socket.create_connection(("127.0.0.1", context.port))
            connected.setblocking(False)
            context.streams.append(SocketStream(from_stdlib_socket(connected)))
        context.stopping.set()

    _start_server(context)
    context.thread.call(connect)


def _start_server(context: Context) -> None:
    context.streams = []
    context.stopping = Event()
    context.ended = Event()
    context.thread = TrioThread(real_time=True)
    context.add_cleanup(context.thread.stop)
    ready = Event()
    context.thread.start(_serve, context, ready)
    context.thread.call(ready.wait)
    context.idle = context.thread.call(open_tcp_stream, "127.0.0.1", context.port)


async def _serve(context: Context, ready: Event) -> None:
    (listener,) = await open_tcp_listeners(0, host="127.0.0.1")
    context.port = listener.socket.getsockname()[1]

    async def handle(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, (), b"done")

    ready.set()
    await HttpServer(listener, handle, context.stopping).run()
    context.ended.set()


async def _request(stream: SocketStream) -> bytes:
    try:
        await stream.send_all(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
        return await stream.receive_some(1000)
    except BrokenResourceError:
        return b""


@when("it stops and each of them brings a request")
def request_while_stopping(context: Context) -> None:
    """Send the requests shortly after the server was told to stop."""

    async def request() -> list[bytes]:
        context.stopping.set()
        await sleep(PAUSE_S)
        return [await _request(stream) for stream in context.streams]

    context.responses = context.thread.call(request)


@then("every request is answered, with the end of its connection")
def requests_answered(context: Context) -> None:
    """Clients that keep the connection open have to know that it ends."""
    for response in context.responses:
        assert b" 200 " in response, context.responses
        assert b"connection: close" in response.lower(), response


@then("the server has ended, although another client's connection stayed idle")
def server_ended(context: Context) -> None:
    """The process can exit."""

    async def wait() -> None:
        with fail_after(TIMEOUT_S):
            await context.ended.wait()

    context.thread.call(wait)


@given("an owner that always has a request")
def busy_owner(context: Context) -> None:
    """Wait for the owner in a thread whose time only passes in the next step."""
    context.thread = TrioThread()
    context.add_cleanup(context.thread.stop)
    context.ended = Event()
    context.thread.start(_wait_for_busy_owner, context)


async def _wait_for_busy_owner(context: Context) -> None:
    owner, inbox = open_memory_channel(1)
    async with open_nursery() as nursery:
        nursery.start_soon(_answer_busy, inbox)
        await wait_for_open_work([owner])
        context.ended.set()
        nursery.cancel_scope.cancel()


async def _answer_busy(inbox) -> None:
    async for query in inbox:
        query.reply_to.send_nowait(True)


@when("a stop has waited for it for {seconds:d} s")
def stop_has_waited(context: Context, seconds: int) -> None:
    """Let time pass."""
    context.thread.advance(seconds, step=0.1)


@then("the wait is over")
def wait_over(context: Context) -> None:
    """The process can exit."""
    assert context.ended.is_set()
