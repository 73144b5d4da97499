"""Steps for outgoing connections."""

from behave import given, then, when
from behave.runner import Context
from trio import (
    BrokenResourceError,
    SocketStream,
    current_time,
    open_memory_channel,
    open_nursery,
    open_tcp_listeners,
    run,
    serve_listeners,
    sleep,
)

from jackdawspread.messages.http_call import HttpCall
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.tasks.http_client_connection import HttpClientConnection

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{"call":"1"}'
DEADLINE_S = 0.1
LATE_S = 0.3


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
