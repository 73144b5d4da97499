"""Steps for members that have left the list."""

from unittest.mock import Mock

from behave import given, then, when
from behave.runner import Context
from features.fakes.replicated_group import listing
from trio import (
    MemoryReceiveChannel,
    current_time,
    open_memory_channel,
    open_nursery,
    run,
    sleep,
    sleep_forever,
)
from trio.testing import MockClock

from jackdawspread.decisions.members.departed_members import update_departed
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.position import Position
from jackdawspread.tasks.fleet.candidate_search import CandidateSearch
from jackdawspread.tasks.fleet.departed_query import DepartedQuery
from jackdawspread.tasks.members.connection_pools import ConnectionPools


def _listings(text: str) -> dict:
    return {id: listing(id) for id in text.split(",")}


@given("{member} has left the list and {state}")
def given_departed(context: Context, member: str, state: str) -> None:
    """Take a member from the list; it may go on serving."""
    group = context.group
    group.listed.discard(member)
    group.departed = (member,)
    if state == "does not answer":
        del group.end_by_member[member]
    if state == "claims to be the primary":
        group.leaders.add(member)


@then('"{members}" were paused in this order')
def then_paused(context: Context, members: str) -> None:
    """Compare the first pauses."""
    found = list(dict.fromkeys(context.group.pause_order))
    assert found == members.split(","), found


@then("no replica rests paused")
def then_resumed(context: Context) -> None:
    """Look for pauses that the attempt has left."""
    assert not context.group.paused, context.group.paused


@given('a list of "{members}" at 0 s')
def given_list(context: Context, members: str) -> None:
    """Remember the first list."""
    context.listing_by_id = _listings(members)
    context.departed_by_id = {}


@when('a list of "{members}" is read at {seconds:g} s')
def when_listed(context: Context, members: str, seconds: float) -> None:
    """Read the next list."""
    listed = _listings(members)
    context.departed_by_id = update_departed(
        context.departed_by_id, context.listing_by_id, listed, seconds
    )
    context.listing_by_id = listed


@then('the departed members are "{members}"')
def then_departed(context: Context, members: str) -> None:
    """Compare the ids."""
    expected = set() if members == "none" else set(members.split(","))
    assert context.departed_by_id.keys() == expected, context.departed_by_id


@given("a query of m3, which is not listed, that waits for its connection")
def given_query(context: Context) -> None:
    """Describe the request of a query."""
    send, receive = open_memory_channel(1)
    context.reply: MemoryReceiveChannel = receive
    context.query = ConnectionRequest(
        *("g", "w", MemberRequirement.NAMED, "m3", 0.0, None),
        *(frozenset(), 0, 0.4, False, send),
        unlisted=listing("m3"),
    )


@when('a list of "{members}" arrives')
def when_list_arrives(context: Context, members: str) -> None:
    """Let the list arrive before the connection has opened."""

    async def play() -> None:
        router, _ = open_memory_channel(10)
        async with open_nursery() as nursery:
            pools = ConnectionPools(nursery, Mock, router, lambda *_: True)
            pools.add_unlisted(listing("m3"))
            pools.request("m3", context.query, 0.0)
            pools.update_members(_listings(members), 0.1)
            pool = pools.pool_by_member.get("m3")
            context.waiting = pool.waiting if pool is not None else []
            nursery.cancel_scope.cancel()

    run(play, clock=MockClock())


@then("the query goes on")
def then_query_waits(context: Context) -> None:
    """Look for the request, and for a refusal."""
    assert context.waiting == [context.query], context.waiting
    assert not context.reply.statistics().current_buffer_used


class _SlowReplication:
    """Answers for one member after a time, and never for others."""

    def __init__(self, member: str, delay_s: float) -> None:
        self._member = member
        self._delay_s = delay_s

    async def send_all(self, members: tuple, command: object) -> dict[str, LogStatus]:
        if members[0].id != self._member:
            await sleep_forever()
        await sleep(self._delay_s)
        return {self._member: LogStatus(self._member, False, 1, Position(1, 9))}


@given(
    "departed members of which {member} answers after {delay:g} s and {silent} never"
)
def given_slow(context: Context, member: str, delay: float, silent: str) -> None:
    """Remember who answers."""
    context.replication = _SlowReplication(member, delay)
    context.departed = (listing(member), listing(silent))


@when("the answers are asked for after {seconds:g} s")
def when_asked(context: Context, seconds: float) -> None:
    """Let another step of the attempt last for this time."""

    async def play() -> None:
        started_at = current_time()
        async with open_nursery() as queries:
            search = CandidateSearch(context.replication)
            query = DepartedQuery(search, context.departed)
            query.start(queries)
            await sleep(seconds)
            context.answered = await query.wait()
            context.elapsed_s = current_time() - started_at
            queries.cancel_scope.cancel()

    run(play, clock=MockClock(autojump_threshold=0))


@then('"{members}" have answered after {seconds:g} s')
def then_answered(context: Context, members: str, seconds: float) -> None:
    """Compare the members and the time."""
    found = ",".join(context.answered) or "none"
    assert found == members, found
    assert abs(context.elapsed_s - seconds) < 1e-6, context.elapsed_s
