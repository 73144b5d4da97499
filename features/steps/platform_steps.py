"""Steps for the platform stand-in."""

from typing import Any

import trio
from behave import given, step, then, when
from behave.runner import Context
from msgspec import json

from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.standins.platform.connect_check_result import ConnectCheckResult
from jackdawspread.standins.platform.platform_codec import decode_platform_request
from jackdawspread.standins.platform.platform_node import PlatformNode
from jackdawspread.standins.platform.platform_submission import PlatformSubmission
from support.trio_thread import TrioThread

Reply = tuple[int, dict[str, Any]]
CLOSED: Reply = (0, {})


@given("a platform")
def start(context: Context) -> None:
    """Start the node of the platform without sockets and without connect checks."""
    context.trio = TrioThread()
    context.add_cleanup(context.trio.stop)
    context.events, inbox = trio.open_memory_channel[Any](3000)

    async def run() -> None:
        node = PlatformNode(inbox, context.events, check_interval=float("inf"))
        await node.run()

    context.trio.start(run)


def start_calls(context: Context, calls: list[tuple[str, str, Any]]) -> list[Reply]:
    """Send calls at the same time; replies are appended to the returned list."""
    replies: list[Reply] = []

    async def run(method: str, target: str, body: Any) -> None:
        request = HttpRequest(method, target, {}, json.encode(body))
        decoded = decode_platform_request(request)
        assert decoded.is_ok(), decoded
        reply_to, inbox = trio.open_memory_channel[HttpResponse](1)
        await context.events.send(PlatformSubmission(decoded.ok, reply_to))
        try:
            response = await inbox.receive()
        except trio.EndOfChannel:
            replies.append(CLOSED)
        else:
            replies.append((response.status, json.decode(response.body)))

    for call in calls:
        context.trio.start(run, *call)
    context.trio.advance(0.005)
    return replies


def call(context: Context, method: str, target: str, body: Any) -> Reply:
    """Make a call that must be answered at once."""
    (reply,) = start_calls(context, [(method, target, body)])
    return reply


def put(rows: dict[str, Any], expect: dict[str, int]) -> tuple[str, str, Any]:
    """Return a call that puts rows."""
    return "POST", "/table/transact", {"expect": expect, "put": rows}


def rows_of(context: Context, *keys: str) -> dict[str, Any]:
    """Read rows."""
    return call(context, "POST", "/table/read", {"keys": keys})[1]["rows"]


@step("the platform is in mode {mode}")
def set_mode(context: Context, mode: str) -> None:
    """Change the fault mode."""
    assert call(context, "POST", "/fault", {"mode": mode})[0] == 200


@given("the platform answers after {delay:d} ms")
def set_slow(context: Context, delay: int) -> None:
    """Set the delay of the platform's answers."""
    call(context, "POST", "/fault", {"mode": "slow", "delay_ms": delay})


@given("the instance list lags by {lag:d} ms")
def set_lag(context: Context, lag: int) -> None:
    """Set the lag of the instance list."""
    call(context, "POST", "/fault", {"mode": "up", "list_lag_ms": lag})


@step('row "{key}" is put with value {value:d} expecting version {version:d}')
def put_row(context: Context, key: str, value: int, version: int) -> None:
    """Put a row."""
    context.replies = start_calls(context, [put({key: value}, {key: version})])


@then("the connection closes without an answer")
def closed(context: Context) -> None:
    """Check that the connection was closed without an answer."""
    assert context.replies == [CLOSED], context.replies


@then('row "{key}" has value {value:d}')
def has_value(context: Context, key: str, value: int) -> None:
    """Check the value of a row."""
    assert rows_of(context, key)[key]["value"] == value


@then('row "{key}" is absent')
def is_absent(context: Context, key: str) -> None:
    """Check that a row is absent."""
    assert rows_of(context, key) == {}


@then('row "{key}" is absent when the platform is up again')
def is_absent_later(context: Context, key: str) -> None:
    """Check that the write of the outage is neither executed nor answered."""
    set_mode(context, "up")
    context.trio.advance(1, 0.1)
    is_absent(context, key)
    assert context.replies == [], context.replies


@when('rows "x" and "y" are put by two callers expecting version 0 of both')
def race(context: Context) -> None:
    """Send two conflicting changes at the same time."""
    expect = {"x": 0, "y": 0}
    calls = [put({"x": value, "y": value}, expect) for value in ("first", "second")]
    context.replies = start_calls(context, calls)


@then("one gets versions and the other gets 409 with both rows")
def one_wins(context: Context) -> None:
    """Check both replies."""
    accepted, refused = sorted(context.replies, key=lambda reply: reply[0])
    assert (accepted[0], refused[0]) == (200, 409), context.replies
    rows = rows_of(context, "x", "y")
    assert refused[1]["rows"] == rows, refused
    assert accepted[1]["versions"] == {key: row["version"] for key, row in rows.items()}


@then('rows "x" and "y" have the values of one caller')
def same_writer(context: Context) -> None:
    """Check that both rows come from the same caller."""
    rows = rows_of(context, "x", "y")
    assert rows["x"]["value"] == rows["y"]["value"], rows


@when('"x" and "y" are put expecting version 0 of "x" only')
def put_both(context: Context) -> None:
    """Put two rows with one outdated expected version."""
    reply = call(context, *put({"x": 2, "y": 2}, {"x": 0}))
    assert reply[0] == 409, reply


@when('row "x" is deleted and put again')
def recreate(context: Context) -> None:
    """Delete and put a row."""
    context.version = rows_of(context, "x")["x"]["version"]
    expect = {"x": context.version}
    body = {"expect": expect, "put": {}, "delete": ["x"]}
    assert call(context, "POST", "/table/transact", body)[0] == 200
    assert call(context, *put({"x": 2}, {"x": 0}))[0] == 200


@then('putting "x" with the first version is refused with 409')
def stale_put(context: Context) -> None:
    """Put with the version of the deleted row."""
    assert call(context, *put({"x": 3}, {"x": context.version}))[0] == 409


@then("no answer comes within {seconds:g} s")
def no_answer(context: Context, seconds: float) -> None:
    """Advance the clock and check that no answer arrived."""
    context.trio.advance(seconds, seconds / 20)
    assert context.replies == [], context.replies


@then("the answer comes within {seconds:g} s")
def answer_comes(context: Context, seconds: float) -> None:
    """Advance the clock and check that the answer arrived."""
    context.trio.advance(seconds)
    assert [reply[0] for reply in context.replies] == [200], context.replies


@then("of {total:d} {kind} at once {accepted:d} are accepted and {refused:d} get 429")
def over_limit(
    context: Context, total: int, kind: str, accepted: int, refused: int
) -> None:
    """Send calls within one second."""
    read = ("POST", "/table/read", {"keys": []})
    sent_call = read if kind == "reads" else put({"k": 1}, {})
    statuses = [reply[0] for reply in start_calls(context, [sent_call] * total)]
    counts = (statuses.count(200), statuses.count(429))
    assert counts == (accepted, refused), counts


@then("a write is accepted after {seconds:g} s")
def write_later(context: Context, seconds: float) -> None:
    """Write after the window of the rate limit has passed."""
    context.trio.advance(seconds, 0.1)
    assert call(context, *put({"k": 1}, {}))[0] == 200


@when('instance "{address}" registers')
def register(context: Context, address: str) -> None:
    """Register an instance."""
    body = {"address": address, "failure_domain": "d1"}
    assert call(context, "POST", "/instances", body)[0] == 200


@when('the connect check of "{address}" {outcome}')
def check(context: Context, address: str, outcome: str) -> None:
    """Send the result of a connect check to the node."""
    event = ConnectCheckResult(address, outcome == "succeeds")
    context.trio.call(context.events.send, event)
    context.trio.advance(0.005)


@then("the list contains {count:d} instances")
@then("the list contains {count:d} instance")
def list_names(context: Context, count: int) -> None:
    """Check the length of the instance list."""
    listed = call(context, "GET", "/instances", {})[1]["instances"]
    assert len(listed) == count, listed


@then("the list contains {count:d} instance after {seconds:g} s")
def list_names_later(context: Context, count: int, seconds: float) -> None:
    """Check the length of the instance list after a time."""
    context.trio.advance(seconds, 0.1)
    list_names(context, count)
