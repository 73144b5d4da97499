"""Steps for log lines about sessions that end."""

from errno import EPIPE, ETIMEDOUT
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from prometheus_client import REGISTRY
from trio import BrokenResourceError, current_time, run, sleep
from trio.testing import MockClock

from jackdawspread.decisions.sessions.session_shutdown import NOTICE_TIMEOUT_S
from jackdawspread.settings.stop_times import StopTimes
from jackdawspread.tasks.sessions import session_end_log
from jackdawspread.tasks.sessions.session_end import SessionEnd
from jackdawspread.tasks.sessions.session_end_log import SessionEndLog

ERRNO_BY_NAME = {"ETIMEDOUT": ETIMEDOUT, "EPIPE": EPIPE}
DROPPED = "jackdawspread_requests_dropped_total"
ENDED = "jackdawspread_sessions_ended_total"
IDLE_END = SessionEnd("idle at a stop", "d", "", "", False, 1.0, 0, ())


def _count(name: str, reason: str) -> float:
    return REGISTRY.get_sample_value(name, {"reason": reason}) or 0.0


def _collect(context: Context) -> None:
    patch = mock.patch.object(session_end_log.logging, "info")
    context.info = patch.start()
    context.add_cleanup(patch.stop)


def _lines(context: Context) -> list[str]:
    return [call.args[0] % call.args[1:] for call in context.info.call_args_list]


def _send(context: Context, data: bytes) -> None:
    context.thread.call(context.client.send_all, data)
    context.thread.advance(0.005)


def _stop(context: Context, close_in_s: float, exit_in_s: float) -> None:
    async def stop() -> None:
        now = current_time()
        close_at, exit_at = now + close_in_s, now + exit_in_s
        context.served.stop(StopTimes(close_at, close_at, exit_at, exit_at, exit_at))

    context.thread.call(stop)


def _fail(name: str) -> None:
    number = ERRNO_BY_NAME[name]
    raise BrokenResourceError from OSError(number, name)


@given("the lines about ended sessions are collected")
def lines_collected(context: Context) -> None:
    """Remember the counters, too."""
    _collect(context)
    context.dropped = {"idle at a stop": _count(DROPPED, "idle at a stop")}
    context.ended = {"caller closed": _count(ENDED, "caller closed")}


def _send_after_close(context: Context, data: bytes) -> None:
    _stop(context, 1.0, 5.0)
    # The client ignores the closing notice.
    context.thread.advance(1.02 + NOTICE_TIMEOUT_S)
    _send(context, data)
    context.thread.advance(0.2)


@when('its instance stops, and the statement "{id}" arrives after the idle close')
def late_statement(context: Context, id: str) -> None:
    """Send it while the session reads and drops bytes."""
    _send_after_close(context, f"QUERY {id} READ a\r\n".encode())


@when('its instance stops, and the message "{text}" arrives after the idle close')
def late_message(context: Context, text: str) -> None:
    """Send it while the session reads and drops bytes."""
    _send_after_close(context, f"{text}\r\n".encode())


@when("its client begins a transaction, and its instance stops until the exit")
def open_transaction(context: Context) -> None:
    """Leave the transaction open, for less than its idle time."""
    _send(context, b"QUERY q1 BEGIN\r\n")
    _stop(context, 0.5, 1.0)
    context.thread.advance(1.2)


@when('its connection fails with {name} while the answer to "{id}" is written')
def write_fails(context: Context, name: str, id: str) -> None:
    """Fail each write."""

    async def fail() -> None:
        _fail(name)

    context.server.send_stream.send_all_hook = fail
    _send(context, f"QUERY {id} SET a b\r\n".encode())
    context.thread.advance(0.2)


@when("its connection fails with {name:w}")
def read_fails(context: Context, name: str) -> None:
    """Fail the read after the next byte."""

    async def fail() -> None:
        _fail(name)

    context.server.receive_stream.receive_some_hook = fail
    _send(context, b"Q")
    context.thread.advance(0.2)


@when("its client sends an invalid message")
def invalid_message(context: Context) -> None:
    """Send a line break of another kind, and a statement."""
    _send(context, b"QUERY 1 READ a\nQUERY 2 READ b\r\nQUERY 3 READ c\r\n")
    context.thread.advance(0.2)


@when("its client closes the connection")
def client_closes(context: Context) -> None:
    """Close it while the session is idle."""
    context.thread.call(context.client.aclose)
    context.thread.advance(0.2)


@when("{count:d} idle sessions end in a second, and one more {seconds:d} s later")
def many_end(context: Context, count: int, seconds: int) -> None:
    """Write to one log on a clock of its own."""

    async def act() -> None:
        log = SessionEndLog()
        for _ in range(count):
            log.write(IDLE_END)
        await sleep(seconds)
        log.write(IDLE_END)

    run(act, clock=MockClock(autojump_threshold=0))


@then('a line says "{text}"')
def line_says(context: Context, text: str) -> None:
    """Search all lines."""
    assert any(text in line for line in _lines(context)), _lines(context)


@then('no line contains "{text}"')
def no_line(context: Context, text: str) -> None:
    """Search all lines."""
    assert not context.is_open, "the session has not ended"
    assert not any(text in line for line in _lines(context)), _lines(context)


@then('{count:d} request is counted as dropped by "{reason}"')
def counted_dropped(context: Context, count: int, reason: str) -> None:
    """Compare the counter with its value before."""
    assert _count(DROPPED, reason) - context.dropped[reason] == count


@then('the end "{reason}" is counted')
def counted_end(context: Context, reason: str) -> None:
    """Compare the counter with its value before."""
    assert _count(ENDED, reason) - context.ended[reason] == 1


@then('{count:d} lines are written, and the last says "{text}"')
def lines_written(context: Context, count: int, text: str) -> None:
    """Compare their number."""
    assert len(_lines(context)) == count, _lines(context)
    assert text in _lines(context)[-1], _lines(context)[-1]
