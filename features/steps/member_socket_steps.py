"""Steps that run a member on a real socket."""

from itertools import count
from typing import Any

import trio
from behave import then
from behave.runner import Context

from jackdawspread.messages.http_call import HttpCall
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.standins.member.member_options import MemberOptions
from jackdawspread.standins.member.run_member import run_member
from jackdawspread.tasks.http_client_connection import HttpClientConnection

IDS = count(1)
READ_AHEAD_OF_LOG = {
    "statement": {"sql": "SELECT 1"},
    "position": [9, 9],
    "wait_ms": 60_000,
}


async def call(
    calls: trio.MemorySendChannel[HttpCall], target: str, body: dict[str, Any]
) -> HttpOutcome:
    """Make a call without a deadline."""
    reply_to, outcomes = trio.open_memory_channel[HttpOutcome](1)
    deadline = float("inf")
    await calls.send(HttpCall(next(IDS), "POST", target, body, deadline, reply_to))
    return await outcomes.receive()


async def replace_connection() -> tuple[int, int]:
    """Close a connection while its read waits, and connect another one.

    Return the status of the second connection before and after the first one closed.
    """
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    options = MemberOptions("a", "", connections=1, connect_ms=0)
    instance = {"instance": "proxy"}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_member, options, listener)
        first, first_calls = trio.open_memory_channel[HttpCall](1)
        second, second_calls = trio.open_memory_channel[HttpCall](1)
        nursery.start_soon(HttpClientConnection(2, address, second_calls).run)
        async with trio.open_nursery() as closing:
            closing.start_soon(HttpClientConnection(1, address, first_calls).run)
            assert (await call(first, "/connect", instance)).status == 200
            closing.start_soon(call, first, "/read", READ_AHEAD_OF_LOG)
            refused = (await call(second, "/connect", instance)).status
            closing.cancel_scope.cancel()
        accepted = refused
        while accepted == 503:
            accepted = (await call(second, "/connect", instance)).status
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    return refused, accepted


@then("closing a socket while its read waits makes room for another connection")
def freed(context: Context) -> None:
    """Run a member with one connection on a free port."""
    assert trio.run(replace_connection) == (503, 200)
