"""Steps for callers whose sessions are closed because the instance stops."""

import socket
import time

from behave import given, then, when
from behave.runner import Context
from features.wire.wire_caller import WireCaller
from trio import (
    BrokenResourceError,
    SocketStream,
    current_time,
    move_on_after,
    open_nursery,
    open_tcp_stream,
    sleep,
    sleep_until,
)
from trio.socket import from_stdlib_socket

from jackdawspread.platform.composition import (
    BALANCER_NOTICE_S,
    EXIT_FRACTION,
    REFUSE_FRACTION,
)

GRACE_S = 6.0
DATABASE, KEY = "primary-db", "key-of-w1"
# For this long before and after the moment in question no other task runs.
BLOCKED_S = 0.05
TIMEOUT_S = 5.0


async def _block_loop(at: float) -> None:
    await sleep_until(at - BLOCKED_S)
    time.sleep(2 * BLOCKED_S)


@when(
    "{number:d} callers send a statement in the moment in which a stop closes idle "
    "sessions"
)
def send_at_close(context: Context, number: int) -> None:
    """Resume callers and sessions in one turn of the event loop, in random order."""
    world = context.platform
    callers = [world.open() for _ in range(number)]
    context.lines_by_id = {}

    async def send(caller: WireCaller, at: float) -> None:
        await sleep_until(at)
        lines = await caller.query("READ crossing")
        context.lines_by_id[caller.last_id] = lines

    async def stop() -> None:
        at = current_time() + BALANCER_NOTICE_S
        world.set_stopping()
        async with open_nursery() as nursery:
            nursery.start_soon(_block_loop, at)
            for caller in callers:
                nursery.start_soon(send, caller, at)

    world.call(stop)


@then("each of them has a complete answer")
def complete_answers(context: Context) -> None:
    """An answer ends with READY."""
    answers = list(context.lines_by_id.values())
    assert all(lines[-1] == "READY I -" for lines in answers), answers
    assert all(_is_served(lines) or _is_refused(lines) for lines in answers), answers


@then("only statements that were answered with rows have run at a member")
def refused_not_run(context: Context) -> None:
    """BUSY promises that a statement has not run."""
    runs = {run.id for run in context.platform.group.runs}
    served = {id for id, lines in context.lines_by_id.items() if _is_served(lines)}
    assert runs & set(context.lines_by_id) == served, context.lines_by_id


def _is_served(lines: list[str]) -> bool:
    return len(lines) > 1 and lines[-2].startswith("DONE")


def _is_refused(lines: list[str]) -> bool:
    return len(lines) == 2 and lines[0].startswith("ERR BUSY")


@when(
    "a stop reaches an idle session of a caller that reads and one of a caller that "
    "does not"
)
def reach_idle_sessions(context: Context) -> None:
    """Close the session of the first caller on its first message, as callers do."""
    reader, context.caller = context.platform.open(), context.platform.open()
    context.started_at = time.monotonic()
    context.platform.stop()
    context.line = context.platform.call(reader.read_line)
    with_more = context.platform.call(_read_more, reader)
    context.line += with_more
    context.platform.call(reader.close)


async def _read_more(caller: WireCaller) -> str:
    with move_on_after(2 * BLOCKED_S):
        return await caller.read_line() or "(end)"
    return ""


@then(
    "the caller that reads has got ERR BUSY without READY before the end of the stream"
)
def told_busy(context: Context) -> None:
    """The error is the only message, and the stream has not ended yet."""
    assert context.line.startswith("ERR BUSY"), context.line
    assert "READY" not in context.line and "(end)" not in context.line, context.line


@then("the other one's session is closed before the instance has to exit")
def closed_before_exit(context: Context) -> None:
    """Read up to the end of the stream."""
    lines = context.platform.call(context.caller.read_answer)
    assert len(lines) == 2 and lines[0].startswith("ERR BUSY"), lines
    assert lines[1] == "", lines
    assert time.monotonic() - context.started_at < EXIT_FRACTION * GRACE_S


@when("a stop closes idle sessions while half of a caller's statement has arrived")
def half_statement(context: Context) -> None:
    """Send the other half after the notices."""
    caller = context.platform.open()
    context.platform.stop()
    context.platform.call(sleep, BALANCER_NOTICE_S - 2 * BLOCKED_S)
    context.platform.call(caller.send_raw, b"QUERY half0001 READ ")
    context.platform.call(sleep, 4 * BLOCKED_S)
    context.platform.call(caller.send_raw, b"half\r\n")
    context.lines = context.platform.call(caller.read_answer)


@then("the statement runs once its other half has arrived")
def half_served(context: Context) -> None:
    """The answer is that of the member."""
    assert _is_served(context.lines), context.lines


@when('a caller\'s transaction rests until a stop ends, and then sends "{text}"')
def rest_until_end(context: Context, text: str) -> None:
    """Send the statement after the notice."""
    caller = context.platform.open()
    for statement in ("BEGIN", "WRITE resting 1"):
        answer = context.platform.query(caller, statement)
        assert answer[0].startswith("DONE"), answer
    context.platform.stop()

    async def rest() -> None:
        # The route's limit for idle transactions is half of the grace time.
        await sleep(0.4 * GRACE_S)
        assert (await caller.query("READ resting"))[0].startswith("ROW")
        with move_on_after(TIMEOUT_S):
            context.notice = await caller.read_line()
        await caller.send_raw(f"QUERY rest0001 {text}\r\n".encode())
        context.rest_of_answer = await caller.read_answer()

    started_at = time.monotonic()
    context.platform.call(rest)
    assert time.monotonic() - started_at >= REFUSE_FRACTION * GRACE_S - BLOCKED_S


@when("a caller keeps a session until a stop ends and sends a statement every 200 ms")
def keep_session(context: Context) -> None:
    """Never leave the session idle for long enough to be closed."""
    caller = context.platform.open()
    context.platform.stop()
    context.answers = []

    async def keep() -> None:
        with move_on_after(2 * GRACE_S):
            while not context.answers or context.answers[-1][-1]:
                context.answers.append(await caller.query("READ kept"))
                await sleep(0.2)

    context.platform.call(keep)


@then("the caller has been told of the end of its session by ERR BUSY before it ended")
def told_before_end(context: Context) -> None:
    """Each statement is answered, and the last line is an error."""
    *complete, last = context.answers
    assert last[0].startswith("ERR BUSY") and last[1:] == [""], context.answers
    assert all(_is_served(a) or _is_refused(a) for a in complete), context.answers


@when("a caller connects and sends nothing until a stop ends")
def send_nothing(context: Context) -> None:
    """Read what the instance sends."""
    host, port = context.platform.address.rsplit(":", 1)

    async def connect() -> WireCaller:
        return WireCaller(await open_tcp_stream(host, int(port)))

    context.caller = context.platform.call(connect)
    context.platform.stop()
    context.opened = [context.platform.call(context.caller.read_answer)]


@when("{number:d} callers connect in the moment in which a stop ends")
def connect_at_exit(context: Context, number: int) -> None:
    """Stop an instance without callers."""
    _connect_at(context, number, BALANCER_NOTICE_S)


@given("a caller whose half statement keeps the instance until its latest exit")
def half_until_exit(context: Context) -> None:
    """Leave the statement incomplete."""
    context.caller = context.platform.open()
    context.platform.call(context.caller.send_raw, b"QUERY half0002 READ ")


@when("{number:d} callers connect in the moment of the latest exit")
def connect_at_latest_exit(context: Context, number: int) -> None:
    """Stop an instance that another caller keeps."""
    _connect_at(context, number, EXIT_FRACTION * GRACE_S)


def _connect_at(context: Context, number: int, after_s: float) -> None:
    """Connect and send START while the instance accepts no connection."""
    host, port = context.platform.address.rsplit(":", 1)
    callers = []

    async def connect(at: float) -> None:
        await sleep_until(at - BLOCKED_S)
        for _ in range(number):
            connected = socket.create_connection((host, int(port)))
            connected.sendall(f"START {DATABASE} {KEY}\r\n".encode())
            connected.setblocking(False)
            callers.append(WireCaller(SocketStream(from_stdlib_socket(connected))))
        time.sleep(2 * BLOCKED_S)

    async def stop() -> None:
        at = current_time() + after_s
        context.platform.set_stopping()
        await connect(at)

    context.platform.call(stop)
    context.opened = [context.platform.call(_first_line, caller) for caller in callers]


async def _first_line(caller: WireCaller) -> list[str]:
    try:
        return [await caller.read_line()]
    except BrokenResourceError:
        return [""]


@then("each START is answered with READY or ERR BUSY")
def start_answered(context: Context) -> None:
    """Read the first line that each caller has got."""
    first = [lines[0] for lines in context.opened]
    assert all(line.startswith(("READY I", "ERR BUSY")) for line in first), first


@then(
    "it has got ERR ABORTED before it sent the statement, and READY {state:w} after it"
)
def told_aborted_at_end(context: Context, state: str) -> None:
    """The notice and what completes it are the answer to the statement."""
    assert context.notice.startswith("ERR ABORTED"), context.notice
    assert context.rest_of_answer == [f"READY {state} -"], context.rest_of_answer


@then("nothing of its transaction is kept")
def nothing_kept(context: Context) -> None:
    """The members have rolled the transaction back."""
    items = context.platform.group.item_by_name
    assert not {"resting", "more"} & set(items), items
