"""Steps for the gateway."""

from typing import Any

from behave import given, then, when
from behave.runner import Context
from expression import Ok
from features.fakes.gateway_world import (
    KEY,
    OWN_ADDRESS,
    PEER_WITHDRAWN_KEY,
    WITHDRAWN_KEY,
    GatewayWorld,
)
from features.support.log_lines import collect_log_lines
from trio import WouldBlock, current_time, sleep
from trio.testing import wait_all_tasks_blocked

from jackdawspread.codecs.member_protocol import encode_statement
from jackdawspread.codecs.peer_frames import encode_batch, encode_frame
from jackdawspread.codecs.untyped_json import encode_json
from jackdawspread.decisions.owner.running_request import RunningRequest
from jackdawspread.messages.answer import Answer
from jackdawspread.messages.position import Position
from jackdawspread.messages.routed_reply import RoutedReply
from jackdawspread.messages.session import Session
from jackdawspread.messages.statement import Statement
from jackdawspread.messages.view import View
from jackdawspread.messages.view_member import ViewMember

# The bucket of a new instance starts empty and fills within this time.
FILL_S = 2.0
AUTHORITY_S = 3.0


@given('a gateway with workspaces "garden" and "orchard"')
def gateway(context: Context) -> None:
    context.world = GatewayWorld()


@given('the database\'s owners are at peers "{first}" and "{second}"')
def owners(context: Context, first: str, second: str) -> None:
    context.world.owner_addresses = (first, second)


def _fields(world: GatewayWorld, credentials: str) -> dict[str, Any]:
    other = world.tokens.encode(Session("orchard", {"swap1": Position(1024, 1)}))
    own = world.tokens.encode(Session("garden", {}))
    return {
        "no key": {"key": ""},
        "an unknown key": {"key": "unknown"},
        "a key withdrawn in the configuration": {"key": WITHDRAWN_KEY},
        "a key withdrawn by a peer": {"key": PEER_WITHDRAWN_KEY},
        "a session token of another workspace": {"session_token": other},
        "a session token with a changed signature": {"session_token": own[:-2] + "xx"},
        "a database of another workspace": {"database": "swap2"},
        "an unknown database": {"database": "swap9"},
        "no request id": {"idempotency_key": ""},
        "an authority that has expired": {},
        "a deadline that has passed": {"deadline": 0.0},
        "a valid key": {},
    }[credentials]


@when("a caller sends a {kind} with {credentials}")
def send(context: Context, kind: str, credentials: str) -> None:
    world = context.world
    if "authority" in credentials:
        world.authority_deadline = 0.0

    async def script(world: GatewayWorld) -> Any:
        await sleep(FILL_S)
        replies = await world.submit(world.request(kind, **_fields(world, credentials)))
        try:
            return replies.receive_nowait(), _routed(world)
        except WouldBlock:
            return None, _routed(world)

    context.script = script
    _run(context)


def _run(context: Context) -> None:
    with collect_log_lines() as lines:
        context.reply, context.routed = context.world.run(context.script)
    context.log_text = "\n".join(lines)


def _routed(world: GatewayWorld) -> list[Any]:
    routed = []
    while True:
        try:
            routed.append((OWN_ADDRESS, world.owner.receive_nowait()))
        except WouldBlock:
            break
    while True:
        try:
            send = world.peer_client.receive_nowait()
            routed.append((send.peer_address, send.submission))
        except WouldBlock:
            return routed


@then("the caller receives {code} and ran {ran}")
def refused_with(context: Context, code: str, ran: str) -> None:
    refusal = context.reply.reply.error
    assert (refusal.code, refusal.ran) == (code, ran), refusal


@then("nothing was routed")
def nothing_routed(context: Context) -> None:
    assert context.routed == [], context.routed


@then("the routed request, its peer frame and its call to a member lack the key")
def lacks_key(context: Context) -> None:
    request = context.routed[0][1].request
    call = encode_statement(RunningRequest(1, request), 1024, "")
    assert KEY not in repr(request)
    assert KEY.encode() not in encode_batch([encode_frame(request, 0.0)])
    body = encode_json(call)
    assert KEY.encode() not in body and request.key_id.encode() not in body


@then("the log lacks the key")
def log_lacks_key(context: Context) -> None:
    assert "route: " in context.log_text
    assert KEY not in context.log_text, context.log_text


@when(
    "{callers:d} callers send reads and the owner answers them in reverse order,"
    " twice each"
)
def reverse(context: Context, callers: int) -> None:
    async def script(world: GatewayWorld) -> Any:
        await sleep(FILL_S)
        replies = []
        for number in range(callers):
            statement = Statement("SELECT ?", (number,))
            request = world.request("read", statements=(statement,))
            replies.append(await world.submit(request))
        for _, submission in reversed(_routed(world) * 2):
            number = submission.request.statements[0].parameters[0]
            answer = Ok(Answer(served_by=str(number)))
            submission.reply_to.send_nowait(RoutedReply(submission.request.id, answer))
        await wait_all_tasks_blocked()
        received = [channel.receive_nowait().reply.ok for channel in replies]
        return [answer.served_by for answer in received], replies

    context.script = script
    _run(context)


@then("each caller got the answer to its own request once")
def own_answers(context: Context) -> None:
    assert context.reply == [str(n) for n in range(len(context.reply))]


@given("the instance is in a new view that settles after {seconds:d} s")
def new_view(context: Context, seconds: int) -> None:
    member = ViewMember("p1", "perth")
    context.world.earlier_views = (View(0, {"i1": member}),)
    context.settles_after = seconds


@when("{callers:d} callers send reads as soon as the view has settled")
def burst_after_settling(context: Context, callers: int) -> None:
    async def script(world: GatewayWorld) -> Any:
        await sleep(context.settles_after)
        world.earlier_views = ()
        world.send_snapshot()
        for _ in range(callers):
            await world.submit(world.request("read"))
        return None, _routed(world)

    context.script = script
    _run(context)


@when(
    "{callers:d} callers send reads and the instance is paused for {seconds:d} s"
    " before it continues"
)
def pause(context: Context, callers: int, seconds: int) -> None:
    async def script(world: GatewayWorld) -> Any:
        world.authority_deadline = current_time() + FILL_S + AUTHORITY_S
        world.send_snapshot()
        await sleep(FILL_S)
        for _ in range(callers):
            deadline = current_time() + 10 * seconds
            await world.submit(world.request("read", deadline=deadline))
        # No task runs while the clock jumps, as in a stopped process.
        world.clock.jump(seconds)
        await wait_all_tasks_blocked()
        await sleep(0.01)
        return None, _routed(world)

    context.script = script
    _run(context)


@then("at most {limit:d} of them were routed")
@then("at most {limit:d} of them was routed at once")
def at_most(context: Context, limit: int) -> None:
    assert len(context.routed) <= limit, len(context.routed)


@when("a caller's write is never answered")
def unanswered(context: Context) -> None:
    async def script(world: GatewayWorld) -> Any:
        await sleep(FILL_S)
        replies = await world.submit(world.request("write"))
        return await replies.receive(), _routed(world)

    context.script = script
    _run(context)


@when('the control task reports that only "{peer}" is alive')
def only_alive(context: Context, peer: str) -> None:
    context.alive = peer


@when('the answer of "{peer}" arrives late')
def late_answer(context: Context, peer: str) -> None:
    async def script(world: GatewayWorld) -> Any:
        await sleep(FILL_S)
        replies = await world.submit(world.request("write"))
        first = _routed(world)
        world.owner_addresses = (context.alive,)
        world.send_snapshot()
        await sleep(0.2)
        _, submission = first[0]
        late = RoutedReply(submission.request.id, Ok(Answer()))
        submission.reply_to.send_nowait(late)
        await wait_all_tasks_blocked()
        routed = first + _routed(world)
        try:
            return replies.receive_nowait(), routed
        except WouldBlock:
            return None, routed

    context.script = script
    _run(context)


@then('the write was sent to "{first}" and then to "{second}" under another id')
def sent_to_both(context: Context, first: str, second: str) -> None:
    assert [peer for peer, _ in context.routed] == [first, second], context.routed
    ids = {submission.request.id for _, submission in context.routed}
    keys = {submission.request.idempotency_key for _, submission in context.routed}
    assert (len(ids), keys) == (2, {"claim-1"})


@then("the caller is still waiting")
def still_waiting(context: Context) -> None:
    assert context.reply is None, context.reply
