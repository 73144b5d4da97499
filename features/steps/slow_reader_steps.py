"""Steps for callers that read their answers slowly."""

import socket
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from features.wire.wire_caller import WireCaller
from trio import BrokenResourceError, SocketStream, sleep
from trio.socket import AF_INET, SO_RCVBUF, SOCK_STREAM, SOL_SOCKET, from_stdlib_socket

from jackdawspread.tasks.sessions import session_listener

DATABASE, KEY = "primary-db", "key-of-w1"
RECEIVE_BUFFER_BYTES = 4096
LARGE = "x" * 900_000
# The limit in the settings of the instance.
MAX_SESSIONS = 100


@given("connections of callers that fail after {seconds:g} s without progress")
def short_timeout(context: Context, seconds: float) -> None:
    """Replace the limit for connections that are accepted from now on."""
    patch = mock.patch.object(
        session_listener, "CALLER_USER_TIMEOUT_MS", int(1000 * seconds)
    )
    patch.start()
    context.add_cleanup(patch.stop)


@when(
    "a caller with a narrow window reads nothing for {seconds:d} s while a large "
    "answer is sent"
)
def pause_reading(context: Context, seconds: int) -> None:
    """Read the rest of the answer after the pause."""
    context.platform.group.item_by_name["large"] = LARGE
    host, port = context.platform.address.rsplit(":", 1)

    async def read() -> list[str]:
        # The size of the window has to be set before the connection is opened.
        connected = socket.socket(AF_INET, SOCK_STREAM)
        connected.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connected.connect((host, int(port)))
        connected.setblocking(False)
        caller = WireCaller(SocketStream(from_stdlib_socket(connected)))
        await caller.send_raw(f"START {DATABASE} {KEY}\r\n".encode())
        assert (await caller.read_line()).startswith("READY")
        await caller.send_raw(b"QUERY slow0001 READ large\r\n")
        await sleep(seconds)
        try:
            return await caller.read_answer()
        except BrokenResourceError:
            return []

    context.answer = context.platform.call(read)


def _is_whole(lines: list[str]) -> bool:
    return lines[:1] == [f"ROW {LARGE}"] and lines[-1] == "READY I -"


@then("it gets the whole answer")
def whole_answer(context: Context) -> None:
    """The answer ends with READY."""
    assert _is_whole(context.answer), [line[:40] for line in context.answer]


@then("it does not get the whole answer")
def cut_answer(context: Context) -> None:
    """The connection was reset."""
    assert not _is_whole(context.answer), [line[:40] for line in context.answer]


@when("a caller sends START while the limit of sessions is reached")
def start_at_limit(context: Context) -> None:
    """Send it before the instance accepts the connection."""
    host, port = context.platform.address.rsplit(":", 1)
    context.open = [context.platform.open() for _ in range(MAX_SESSIONS)]

    async def start() -> list[str]:
        connected = socket.create_connection((host, int(port)))
        connected.sendall(f"START {DATABASE} {KEY}\r\n".encode())
        connected.setblocking(False)
        caller = WireCaller(SocketStream(from_stdlib_socket(connected)))
        lines = [await caller.read_line()]
        try:
            lines.append(await caller.read_line())
        except BrokenResourceError:
            lines.append("reset")
        return lines

    context.answer = context.platform.call(start)


@then("it gets ERR BUSY, and then the end of the stream")
def refused_without_reset(context: Context) -> None:
    """An empty line stands for the end of the stream."""
    first, second = context.answer
    assert first.startswith("ERR BUSY") and second == "", context.answer
