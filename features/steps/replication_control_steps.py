"""Steps for commands about the logs of members."""

from behave import given, then, when
from behave.runner import Context
from trio import current_time, open_memory_channel, open_nursery, run
from trio.testing import MockClock

from jackdawspread.messages.fleet.connection_context import EMPTY_CONTEXT
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.member_reply import MemberReply
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.messages.statements.session_phase import SessionPhase
from jackdawspread.tasks.fleet.replication_control import ReplicationControl

MEMBER = MemberListing("m0", "g", "10.0.0.1:1", "z1", 2, False, True)
BUSY = MemberReply((), "", "busy", "", SessionPhase.IDLE, None)
STATUS = LogStatus("", True, 1, Position(1, 7))
ANSWERED = MemberReply(("row",), "-", "", "", SessionPhase.IDLE, None, 0.0, STATUS)


@given("a member that is busy for the first {count:d} commands")
def busy_member(context: Context, count: int) -> None:
    """Set the number of commands that the member refuses."""
    context.busy_count = count


@when("its log status is queried")
def queried(context: Context) -> None:
    """Send the query over a connection that the test answers."""

    async def act() -> None:
        router, requests = open_memory_channel(10)
        exchanges, commands = open_memory_channel(1)

        async def lease() -> None:
            async for request in requests:
                if isinstance(request, ConnectionRequest):
                    lease = MemberLease(
                        1, "m0", "g", exchanges, EMPTY_CONTEXT, False, None, 0.0
                    )
                    request.reply_to.send_nowait(lease)

        async def answer() -> None:
            number = 0
            async for exchange in commands:
                reply = BUSY if number < context.busy_count else ANSWERED
                exchange.reply_to.send_nowait(reply)
                number += 1

        async with open_nursery() as nursery:
            nursery.start_soon(lease)
            nursery.start_soon(answer)
            begun_at = current_time()
            context.status = await ReplicationControl(router).send(
                MEMBER, QueryStatus()
            )
            context.elapsed_s = current_time() - begun_at
            nursery.cancel_scope.cancel()

    run(act, clock=MockClock(autojump_threshold=0))


@then("the log status is {result} within {seconds:g} s")
def known_within(context: Context, result: str, seconds: float) -> None:
    """Compare the status and the time that the query took."""
    known = context.status == STATUS._replace(member="m0")
    assert known == (result == "known"), context.status
    assert context.elapsed_s <= seconds, context.elapsed_s
