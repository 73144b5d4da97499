"""Steps for lists that may lack a member."""

from unittest import mock

from behave import given, then, when
from behave.runner import Context
from trio import MemoryReceiveChannel, current_time, open_memory_channel, run
from trio.testing import MockClock

from jackdawspread.decisions.members.list_completeness import (
    UNKNOWN_COMPLETENESS,
    add_list,
    is_whole,
)
from jackdawspread.decisions.store_reads.store_clock_offset import StoreClockOffset
from jackdawspread.messages.fleet.members_relayed import MembersRelayed
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.platform import member_poll
from jackdawspread.platform.member_poll import MemberPoll

QUEUE_LENGTH = 100


@given('lists that are requested and arrive at "{times}"')
def given_lists(context: Context, times: str) -> None:
    """Add lists; one time stands for both."""
    completeness = UNKNOWN_COMPLETENESS
    for text in times.split():
        requested, _, arrived = text.partition("-")
        context.read_at = float(requested)
        completeness = add_list(
            completeness, context.read_at, float(arrived or requested)
        )
    context.completeness = completeness


@then("the last list names every member that lives: {whole}")
def then_whole(context: Context, whole: str) -> None:
    """Ask about the last list."""
    completeness = context.completeness
    found = is_whole(completeness, context.read_at)
    assert found is (whole == "yes"), completeness


@given('an instance that hears lists of another one, read at "{heard}"')
def given_heard(context: Context, heard: str) -> None:
    """Remember the times of the store's clock, which is that of the scenario."""
    pairs = (text.partition("+") for text in heard.split())
    context.heard = [(float(read_at), float(late or 0)) for read_at, _, late in pairs]


@when("it reads a list itself at {own:g} s")
def when_read(context: Context, own: float) -> None:
    """Pass the lists to the poll at their times."""
    clock = MockClock()
    channels = [open_memory_channel(QUEUE_LENGTH) for _ in range(6)]
    send, receive = zip(*channels, strict=True)
    context.published: MemoryReceiveChannel[MembersSeen] = receive[1]
    poll = MemberPoll("", "i2", "z1", receive[0], *send[1:])
    poll._clock = StoreClockOffset(0.0)

    async def play() -> None:
        for read_at, late_s in context.heard:
            clock.jump(read_at + late_s - current_time())
            await poll._handle(MembersRelayed("i1", "z1", read_at, ()))
        clock.jump(own - current_time())
        poll._note_list(own)
        await poll._publish({}, own)

    with mock.patch.object(member_poll, "seconds_since_boot", current_time):
        run(play, clock=clock)


@then("its list counts as complete: {whole}")
def then_complete(context: Context, whole: str) -> None:
    """Compare the last list that was passed on."""
    while context.published.statistics().current_buffer_used:
        seen = context.published.receive_nowait()
    assert seen.is_whole is (whole == "yes"), seen
