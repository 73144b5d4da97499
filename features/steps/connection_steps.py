"""Steps for outgoing connections."""

from contextlib import suppress

from behave import given, then, when
from behave.runner import Context
from trio import (
    BrokenResourceError,
    Event,
    SocketStream,
    current_time,
    move_on_after,
    open_memory_channel,
    open_nursery,
    open_tcp_listeners,
    run,
    serve_listeners,
    sleep,
)

from jackdawspread.messages.http_call import HttpCall
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.tasks.http_client import HttpClient
from jackdawspread.tasks.http_client_connection import HttpClientConnection

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{"call":"1"}'
DEADLINE_S = 0.1
LATE_S = 0.3
# Lengths of the parts of an answer, and the seconds before each, by name.
PARTS_BY_NAME = {
    "8 of them 0.1 s apart": (len(ANSWER) // 8, 0.1),
    "2 of them 5.0 s apart": (len(ANSWER) // 2 + 1, 5.0),
    "the first after 0.5 s": (len(ANSWER), 0.5),
}


@given("a server on loopback that answers its first call after the deadline")
def late_server(context: Context) -> None:
    async def serve(stream: SocketStream) -> None:
        await stream.receive_some(4096)
        await sleep(LATE_S)
        await stream.send_all(ANSWER)
        await stream.receive_some(4096)

    context.serve = serve


@when("two calls are made over one connection")
def two_calls(context: Context) -> None:
    context.outcomes = run(_two_calls, context.serve)


async def _two_calls(serve: object) -> list[HttpOutcome | None]:
    outcomes: list[HttpOutcome | None] = []
    async with open_nursery() as nursery:
        listeners = await open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        calls, inbox = open_memory_channel[HttpCall](2)
        connection = HttpClientConnection(1, f"127.0.0.1:{port}", inbox)
        nursery.start_soon(connection.run)
        for number in (1, 2):
            send, receive = open_memory_channel[HttpOutcome](1)
            wait = DEADLINE_S if number == 1 else 10 * LATE_S
            deadline = current_time() + wait
            call = HttpCall(number, "POST", "/read", {}, deadline, send)
            try:
                await calls.send(call)
                outcomes.append(await receive.receive())
            except BrokenResourceError:
                outcomes.append(None)
        nursery.cancel_scope.cancel()
    return outcomes


@then("the first call ends without an answer and may have been sent")
def first_unanswered(context: Context) -> None:
    first = context.outcomes[0]
    assert first.error and first.sent and not first.status, first


@then("the second call gets no answer of the first")
def second_unanswered(context: Context) -> None:
    second = context.outcomes[1]
    assert second is None or not second.status, second


@given("a server on loopback that sends its answer in parts, {parts}")
def server_in_parts(context: Context, parts: str) -> None:
    """Send parts of an answer with pauses before them."""
    length, pause_s = PARTS_BY_NAME[parts]

    async def serve(stream: SocketStream) -> None:
        await stream.receive_some(4096)
        for start in range(0, len(ANSWER), length):
            # The head comes at once, unless the first part is late.
            await sleep(pause_s if start or length == len(ANSWER) else 0)
            await stream.send_all(ANSWER[start : start + length])
        await stream.receive_some(4096)

    context.serve = serve


@when("it is called by {method} with a deadline of {seconds:g} s")
def called(context: Context, method: str, seconds: float) -> None:
    """Make one call."""
    context.outcome = run(_call_once, context.serve, method, seconds)


async def _call_once(serve: object, method: str, seconds: float) -> HttpOutcome:
    async with open_nursery() as nursery:
        listeners = await open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        client = HttpClient(f"127.0.0.1:{port}", nursery)
        outcome = await client.call(method, "/read", {}, current_time() + seconds)
        nursery.cancel_scope.cancel()
    return outcome


@then("the call gets {result}")
def call_gets(context: Context, result: str) -> None:
    """Compare the outcome."""
    is_answered = context.outcome.status == 200
    assert is_answered == (result == "an answer"), context.outcome


@given("a server on loopback that never ends its answer")
def endless_server(context: Context) -> None:
    """Send the beginning of an answer, then wait for the end of the connection."""

    async def serve(stream: SocketStream) -> None:
        await stream.receive_some(4096)
        await stream.send_all(ANSWER[:-1])
        context.answering.set()
        with suppress(BrokenResourceError):
            await stream.receive_some(4096)
        context.closed.set()

    context.serve = serve


@when("the client is closed during a call")
def closed_during_call(context: Context) -> None:
    """Close the client when the answer has begun, and wait for the server."""
    context.is_seen = run(_close_during_call, context)


async def _close_during_call(context: Context) -> bool:
    context.answering, context.closed = Event(), Event()
    is_seen = False
    async with open_nursery() as nursery:
        listeners = await open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(serve_listeners, context.serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        client = HttpClient(f"127.0.0.1:{port}", nursery)
        deadline = current_time() + 100
        nursery.start_soon(client.call, "GET", "/read", {}, deadline)
        await context.answering.wait()
        client.close()
        with move_on_after(1):
            await context.closed.wait()
            is_seen = True
        nursery.cancel_scope.cancel()
    return is_seen


@then("the server sees the end of the connection within 1 s")
def end_seen(context: Context) -> None:
    """Check what the server has seen."""
    assert context.is_seen
