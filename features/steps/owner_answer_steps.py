"""Steps for lost answers and refusals."""

from typing import Any

from behave import then, when
from behave.runner import Context
from features.fakes.owner_script import current_primary, fail_primary, play, records
from features.fakes.owner_world import A, B, C, OwnerWorld, snapshot
from trio import sleep

from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.owner_assignment import OwnerAssignment
from jackdawspread.messages.request_kind import RequestKind

READ, BEGIN = RequestKind.READ, RequestKind.BEGIN


@when("a read's answer is lost and arrives later")
def lost_read(context: Context) -> None:
    """Deliver the late answer after the read was answered."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        world.members[A].lost_answers.append("/read")
        await world.submit_and_wait("read", READ)
        [(reply_to, answer)] = world.members[A].late_answers
        reply_to.send_nowait(answer)
        await sleep(1)

    play(context, script)


@then("the read is answered once, over another connection")
def other_connection(context: Context) -> None:
    """Check that the timed-out connection was not used again."""
    world = context.world
    [reply] = world.replies["read"]
    assert reply.is_ok()
    (_, first, _), (_, second, _) = world.ran("read")
    assert first != second
    calls = [connection for _, connection, _ in world.members[A].ran]
    assert first not in calls[calls.index(second) :]


@when("10 reads lose their answers and one more read follows")
def ten_silent(context: Context) -> None:
    """Lose more connections than the limit allows."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        for number in range(11):
            if number < 10:
                world.members[A].lost_answers.append("/read")
            await world.submit_and_wait(f"read-{number}", READ)

    play(context, script)


@then("all 11 reads are answered")
def all_answered(context: Context) -> None:
    """Check the replies."""
    replies = context.world.replies.values()
    assert [reply.is_ok() for [reply] in replies] == [True] * 11


@when("the answer to a write is lost {moment} a promotion")
def lost_write(context: Context, moment: str) -> None:
    """Lose the answer of the member that is the primary at the time."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        if moment == "after":
            fail_primary(world)
            await sleep(3)
        primary = current_primary(world) if moment == "after" else world.members[A]
        primary.lost_answers.append("/write")
        world.submit("write")
        if moment == "during":
            await sleep(0.1)
            fail_primary(world)
        await sleep(6)
        if moment == "before":
            fail_primary(world)
            await sleep(3)

    play(context, script)


@then("the {name} is acknowledged once and the log contains it once")
def acknowledged_once(context: Context, name: str) -> None:
    """Check the reply and the log of the current primary."""
    [reply] = context.world.replies[name]
    assert reply.is_ok(), reply
    assert records(current_primary(context.world)).count(name) == 1


@when("both replicas stop receiving the log and a write is sent")
def no_confirmation(context: Context) -> None:
    """Isolate the primary from the replicas only."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        world.members[B].is_isolated = world.members[C].is_isolated = True
        await world.submit_and_wait("write")

    play(context, script)


@then("the write is refused with {code} and ran {ran}")
@then("it is refused with {code} and ran {ran}")
@then("the statement with a wrong id is refused with {code} and ran {ran}")
@then("its next statement is refused with {code} and ran {ran}")
def write_refused(context: Context, code: str, ran: str) -> None:
    """Check the refusal."""
    [reply] = context.world.replies["write"]
    assert (reply.error.code, reply.error.ran) == (code, ran), reply


@when("a request meets {obstacle}")
def obstacle(context: Context, obstacle: str) -> None:
    """Send a write that meets the obstacle."""
    changes: dict[str, Any] = {
        "a full queue": {"preset": {"queue_limit": 0}},
        "a long queue": {"preset": {"queue_wait_ms": 100}},
        "a leaving database": {"leaving_databases": ["swap"]},
        "a read-only preset": {"preset": {"writes_allowed": False}},
    }.get(obstacle, {})

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        world.inboxes[0].send_nowait(snapshot(**changes))
        if obstacle == "no assignment":
            world.inboxes[0].send_nowait(OwnerAssignment("swap", 2, -1, False, 0))
        if obstacle == "a long queue":
            world.members[A].service = 0.2
            world.submit("other-1", READ)
            world.submit("other-2", READ)
        if obstacle == "unresponsive members":
            for member in world.members.values():
                member.dropped_calls = ["/write"] * 100
        await world.submit_and_wait("write")

    play(context, script)


@then("a refusal that says not run means that no member received the request")
def not_run_is_true(context: Context) -> None:
    """Compare the refusal with the calls that the members received."""
    [reply] = context.world.replies["write"]
    received = [label for _, _, label in context.world.ran("write")]
    assert reply.error.ran is not ExecutionStatus.NOT_RUN or "write" not in received


@when("a write is acknowledged and {request} is sent while the replicas are {state}")
def recorded(context: Context, request: str, state: str) -> None:
    """Send the write again with the same id, or with a new one."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        context.first = (await world.submit_and_wait("write")).ok
        if state == "isolated":
            world.members[B].is_isolated = world.members[C].is_isolated = True
        is_outcome = request == "its outcome"
        kind = RequestKind.OUTCOME if is_outcome else RequestKind.WRITE
        id = "other" if request == "a new write" else "write"
        context.again = await world.submit_and_wait("again", kind, idempotency_key=id)

    play(context, script)


@then("the recorded answer is {result}")
def recorded_answer(context: Context, result: str) -> None:
    """Compare the second reply with the first."""
    if result == "returned":
        assert context.again.ok.position == context.first.position
        assert context.again.ok.results == context.first.results
    else:
        assert context.again.error.code == "outcome_unknown", context.again
