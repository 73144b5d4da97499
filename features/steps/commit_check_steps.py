"""Steps for acknowledged commits and the lines about promotions."""

import re
from collections.abc import Awaitable, Callable
from unittest import mock

from absl import logging
from behave import given, then, when
from behave.runner import Context
from prometheus_client import REGISTRY
from trio import open_memory_channel, open_nursery, run
from trio.testing import MockClock

from jackdawspread.messages.fleet.connection_context import EMPTY_CONTEXT
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.demote_primary import DemotePrimary
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.pause_replication import PauseReplication
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.messages.statements.resume_replication import ResumeReplication
from jackdawspread.tasks.fleet.replication_control import ReplicationControl
from jackdawspread.tasks.members import commit_check
from jackdawspread.tasks.members.group_monitor import GroupMonitor

SEEN = re.compile(r"(\+?)([rw])(\d+)\.(\d+)")
LOST = "jackdawspread_lost_commits_detected_total"
MEMBER = MemberListing("m0", "g", "10.0.0.1:1", "z1", 2, False, True)
STATEMENT_BY_NAME = {
    "pause": PauseReplication(4),
    "demote": DemotePrimary(4),
    "resume": ResumeReplication(),
    "status": QueryStatus(),
}


def _collect(context: Context) -> None:
    for level in ("info", "warning", "error"):
        patch = mock.patch.object(logging, level)
        setattr(context, level, patch.start())
        context.add_cleanup(patch.stop)


def _lines(collected: mock.Mock) -> list[str]:
    return [call.args[0] % call.args[1:] for call in collected.call_args_list]


@when('an instance sees the positions "{positions}"')
def sees(context: Context, positions: str) -> None:
    """Report one position each second; a + is sent as early as the first of all."""
    _collect(context)
    context.lost_before = REGISTRY.get_sample_value(LOST)
    channels = [open_memory_channel(10)[0] for _ in range(3)]
    monitor = GroupMonitor(*channels)
    for number, found in enumerate(SEEN.findall(positions)):
        early, kind, term, sequence = found
        answered_at = 10.0 + number
        sent_at = 9.0 if early else answered_at - 0.5
        position = Position(int(term), int(sequence))
        event = PositionSeen("g", f"m{term}", position, sent_at, kind == "w")
        with mock.patch.object(
            commit_check, "seconds_since_boot", return_value=answered_at
        ):
            monitor.handle_observation(event, answered_at)


@when('the lists of members name "{first}", "{second}" and "{third}"')
def listed(context: Context, first: str, second: str, third: str) -> None:
    """Deliver one list each second."""
    _collect(context)
    monitor = GroupMonitor(*(open_memory_channel(10)[0] for _ in range(3)))
    for as_of, text in enumerate((first, second, third), start=10):
        listing_by_id = {
            id: MEMBER._replace(id=id, address=f"10.0.0.{id[1:]}:1")
            for id in text.split(",")
        }
        monitor.update_members(MembersSeen(listing_by_id, as_of), as_of)


@then("commits are reported missing {count:d} times")
def reported(context: Context, count: int) -> None:
    """Compare the lines and the counter."""
    assert len(_lines(context.error)) == count, _lines(context.error)
    assert REGISTRY.get_sample_value(LOST) - context.lost_before == count


@then('the error line says "{text}"')
def error_says(context: Context, text: str) -> None:
    """Compare the only line."""
    assert _lines(context.error) == [text], _lines(context.error)


@then('the line of the new term says "{text}"')
def term_line(context: Context, text: str) -> None:
    """Search the lines."""
    assert text in _lines(context.info), _lines(context.info)


@given("the lines of failovers are collected")
def collected(context: Context) -> None:
    """Collect all lines from now on."""
    _collect(context)


@when("the lines of an attempt on an unreachable primary are collected")
def attempt_collected(context: Context) -> None:
    """Run one attempt."""
    _collect(context)
    run(context.group.attempt, False, clock=MockClock(autojump_threshold=0))


@then('one line contains "{text}"')
def one_line(context: Context, text: str) -> None:
    """Search the lines."""
    found = [line for line in _lines(context.info) if text in line]
    assert len(found) == 1, _lines(context.info)


@when('the command "{name}" gets no answer')
def unanswered(context: Context, name: str) -> None:
    """Fail the exchange after it was sent."""
    _collect(context)

    async def send(control: ReplicationControl) -> None:
        assert await control.send(MEMBER, STATEMENT_BY_NAME[name]) is None

    _run_failing(send, was_sent=True)


@when("a replica is resumed and the command {fate}")
def resumed(context: Context, fate: str) -> None:
    """Fail the exchange before or after it was sent."""

    async def resume(control: ReplicationControl) -> None:
        context.unanswered = await control.resume_all((MEMBER,))

    _run_failing(resume, was_sent=fate == "gets no answer")


@then('the command may still be executed by "{members}"')
def executed_late(context: Context, members: str) -> None:
    """Compare the members that did not answer."""
    assert context.unanswered == frozenset({members} - {"none"}), context.unanswered


def _run_failing(
    act_on: Callable[[ReplicationControl], Awaitable[None]], was_sent: bool
) -> None:
    failure = ExchangeFailure(was_sent, "no answer in time", True)

    async def act() -> None:
        router, requests = open_memory_channel(10)
        exchanges, commands = open_memory_channel(1)

        async def lease() -> None:
            async for request in requests:
                if isinstance(request, ConnectionRequest):
                    request.reply_to.send_nowait(
                        MemberLease(
                            1, "m0", "g", exchanges, EMPTY_CONTEXT, False, None, 0.0
                        )
                    )

        async def fail() -> None:
            async for exchange in commands:
                exchange.reply_to.send_nowait(failure)

        async with open_nursery() as nursery:
            nursery.start_soon(lease)
            nursery.start_soon(fail)
            await act_on(ReplicationControl(router))
            nursery.cancel_scope.cancel()

    run(act, clock=MockClock(autojump_threshold=0))


@then('a warning contains "{text}"')
def warning_contains(context: Context, text: str) -> None:
    """Search the warnings."""
    lines = _lines(context.warning)
    assert any(text in line for line in lines), lines


@then("no warning is written")
def no_warning(context: Context) -> None:
    """Nothing is logged as a warning."""
    assert not _lines(context.warning), _lines(context.warning)
