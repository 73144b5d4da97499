"""Steps for the limits of what one client may hold."""

import re
from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context
from features.support.trio_thread import TrioThread
from trio import open_memory_channel, open_nursery, sleep_forever
from trio.testing import memory_stream_pair

from jackdawspread.decisions.limits.connection_load import ConnectionLoad
from jackdawspread.decisions.limits.connections_to_close import connections_to_close
from jackdawspread.decisions.limits.memory_limits import UNLIMITED
from jackdawspread.decisions.sessions.session_memory import may_pool
from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.decisions.sessions.statement_plan import plan_statement
from jackdawspread.messages.fleet.connection_context import ConnectionContext
from jackdawspread.messages.fleet.consistency import Consistency
from jackdawspread.messages.fleet.database_route import DatabaseRoute
from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.refusal import Refusal
from jackdawspread.platform.caller_wire_codec import CallerWireCodec
from jackdawspread.platform.line_buffer import LineBuffer
from jackdawspread.platform.statement_texts import parse_statement
from jackdawspread.tasks.limits.memory_budget import MemoryBudget
from jackdawspread.tasks.sessions.caller_session import CallerSession
from jackdawspread.tasks.sessions.session_end_log import SessionEndLog

NOW = 1000.0
LOAD = re.compile(r"(\w)=(\d+) for (\d+) s( running)?")
LARGE = "x" * 1024 * 1024
ROUTE = DatabaseRoute("d", "g", Consistency.PRIMARY, 1.0, 5.0, 1.0, 0, False)


@given("connections that hold {held}")
def connections(context: Context, held: str) -> None:
    """Describe each connection by its bytes and the time for which it holds them."""
    context.load_by_id = {
        name: ConnectionLoad(int(size), NOW - int(age), bool(running))
        for name, size, age, running in LOAD.findall(held)
    }


@when("{excess:d} bytes too many are held")
def too_many_held(context: Context, excess: int) -> None:
    """Choose the connections to close."""
    context.closed = connections_to_close(context.load_by_id, excess, NOW)


@then("{names} are closed")
def are_closed(context: Context, names: str) -> None:
    """Compare the chosen connections in order."""
    assert (", ".join(context.closed) or "none") == names, context.closed


class CountingBuffer(bytearray):
    """Counts the bytes that are searched."""

    searched = 0

    def find(self, end: bytes, start: int = 0) -> int:
        """Search from a position to the end."""
        self.searched += len(self) - start
        return super().find(end, start)


@when("a line of {size:d} KiB arrives in pieces of {piece:d} bytes")
def line_in_pieces(context: Context, size: int, piece: int) -> None:
    """Look for a complete line after each piece."""
    lines = LineBuffer()
    context.buffer = lines._buffer = CountingBuffer()
    context.size = size * 1024
    for _ in range(context.size // piece):
        lines.receive(b"x" * piece)
        assert lines.next_line() is None
    lines.receive(b"\r\n")
    assert len(lines.next_line()) == context.size


@then("at most twice its bytes are searched for its end")
def searched_once(context: Context) -> None:
    """A search of the whole buffer for each piece takes 2,000 times as much."""
    assert context.buffer.searched <= 2 * context.size, context.buffer.searched


@when('a session sends "{text}" {count:d} times with different names')
def sends_many(context: Context, text: str, count: int) -> None:
    """Apply the statements to the state of a session."""
    state = SessionState()
    for number in range(count):
        named = text.replace(" n ", f" n{number} ").replace("large", LARGE)
        plan = plan_statement(parse_statement(named), state)
        state = plan.state
    context.result = plan.result


@then("the last answer is {answer}")
def last_answer(context: Context, answer: str) -> None:
    """Compare the code of a refusal, or a success."""
    refused = isinstance(context.result, Refusal)
    assert (context.result.code if refused else "done") == answer, context.result


@then("a connection with a value of 64 KiB is closed, one of 1 KiB is kept")
def kept_in_pool(context: Context) -> None:
    """Check what a pool keeps."""
    assert not may_pool(ConnectionContext({"a": LARGE[: 64 * 1024]}, frozenset()))
    assert may_pool(ConnectionContext({"a": LARGE[:1024]}, frozenset()))


@given("a session whose transactions may be idle for {seconds:d} s")
def session(context: Context, seconds: int) -> None:
    """Run a session over a stream in memory, on a clock that the steps advance."""
    context.thread = TrioThread()
    context.add_cleanup(context.thread.stop)
    context.is_open = True
    context.admitted = OperationAdmitted(ROUTE, "w", 1, 0.0, float(seconds))
    context.thread.start(_run_session, context)
    context.thread.advance(0.005)
    # A session that is closed waits for its client, on a clock that stands still.
    context.add_cleanup(context.thread.call, context.client.aclose)
    _send(context, b"START d k\r\n")


async def _run_session(context: Context) -> None:
    context.client, context.server = memory_stream_pair()
    # Between two steps the session has read all that was sent.
    context.server.socket = SimpleNamespace(is_readable=lambda: False)
    channel, inbox = open_memory_channel(10)
    budget = MemoryBudget(UNLIMITED)
    account = budget.open_account("session", 0)
    served = context.served = CallerSession(
        context.server,
        CallerWireCodec(),
        channel,
        channel,
        channel,
        budget,
        account,
        SessionEndLog(),
        channel,
    )
    async with open_nursery() as nursery:
        nursery.start_soon(_admit, inbox, context.admitted)
        await served.run()
        context.is_open = False
        nursery.cancel_scope.cancel()


async def _admit(inbox, admitted: OperationAdmitted) -> None:
    async for request in inbox:
        request.reply_to.send_nowait(admitted)


def _send(context: Context, data: bytes) -> None:
    context.thread.call(context.client.send_all, data)
    context.thread.advance(0.005)


@when("its client is idle for {seconds:d} s")
def client_idle(context: Context, seconds: int) -> None:
    """Send nothing."""
    context.thread.advance(seconds, step=10.0)


@when("its client starts a message and waits for {seconds:d} s")
def client_waits(context: Context, seconds: int) -> None:
    """Send the first byte of a message only."""
    _send(context, b"Q")
    context.thread.advance(seconds, step=1.0)


@when("its client sends a byte of a message each second for {seconds:d} s")
def client_drips(context: Context, seconds: int) -> None:
    """Never complete the message."""
    for _ in range(seconds):
        _send(context, b"Q")
        context.thread.advance(1, step=0.5)


@when("its client begins and sends a byte each second for {seconds:d} s")
def client_drips_in_transaction(context: Context, seconds: int) -> None:
    """Complete a statement later than the transaction may be idle."""
    _send(context, b"QUERY 1 BEGIN\r\n")
    statement = b"QUERY 2 SET a b\r\n"
    for number in range(seconds):
        _send(context, statement[number : number + 1])
        context.thread.advance(1, step=0.5)
    _send(context, statement[seconds:])


@when("its client asks ahead and reads no answer for {seconds:d} s")
def client_reads_nothing(context: Context, seconds: int) -> None:
    """The stream takes no answer."""
    context.server.send_stream.send_all_hook = sleep_forever
    _send(context, b"QUERY 1 SET a b\r\n" * 100)
    context.thread.advance(seconds, step=1.0)


@then("after that the session is {state}")
def session_state(context: Context, state: str) -> None:
    """Compare whether it is open, and its transaction."""
    if state == "in failed transaction":
        answers = bytes(context.thread.call(context.client.receive_some, 10_000))
        assert answers.endswith(b"READY E -\r\n"), answers
        return
    assert context.is_open == (state == "open"), context.is_open
