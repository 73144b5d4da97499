"""Steps for session tokens and batches at the gateway."""

from hashlib import sha256

from behave import given, then, when
from behave.runner import Context
from expression import Ok
from trio import (
    MemoryReceiveChannel,
    current_time,
    fail_after,
    open_memory_channel,
    open_nursery,
    run,
)

from jackdawspread.codecs.session_token import SessionTokenCodec
from jackdawspread.decisions.control.initial_configuration import initial_configuration
from jackdawspread.messages.answer import Answer
from jackdawspread.messages.caller_reply import CallerReply
from jackdawspread.messages.caller_request import CallerRequest
from jackdawspread.messages.caller_submission import CallerSubmission
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.position import Position
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.routed_reply import RoutedReply
from jackdawspread.messages.routed_submission import RoutedSubmission
from jackdawspread.messages.session import Session
from jackdawspread.messages.statement import Statement
from jackdawspread.messages.view import View
from jackdawspread.messages.view_member import ViewMember
from jackdawspread.settings.experiment_settings import ExperimentSettings
from jackdawspread.tasks.gateway import Gateway, GatewayEvent
from jackdawspread.tasks.peer_client import PeerClientEvent

ADDRESS, KEY, TERM = "127.0.0.1:1", "key", 1024
TOKENS = SessionTokenCodec("secret" * 8)


@given("a gateway whose owner answers at position {sequence:d}")
def owner_position(context: Context, sequence: int) -> None:
    """Set the position of every answer."""
    answer = Answer((), position=Position(TERM, sequence), role="primary")
    context.answer = answer


@when("a caller reads with a token at position {sequence:d}")
def read_with_token(context: Context, sequence: int) -> None:
    """Read once with a token."""
    session = Session("branch", {"swap1": Position(TERM, sequence)})
    context.token = TOKENS.encode(session)
    context.replies = run(_read, context.answer, [context.token])


@when("a caller reads without a token")
def read_without_token(context: Context) -> None:
    """Read once."""
    context.replies = run(_read, context.answer, [""])


@when("{count:d} callers read at once")
def read_at_once(context: Context, count: int) -> None:
    """Submit all requests before the gateway runs."""
    context.count = count
    context.replies = run(_read, context.answer, [""] * count)


@then("its token is unchanged")
def unchanged(context: Context) -> None:
    """Compare the tokens."""
    assert context.replies[0].session_token == context.token


@then("its token contains position {sequence:d}")
def contains_position(context: Context, sequence: int) -> None:
    """Check the position of the token."""
    session = TOKENS.decode(context.replies[0].session_token).ok
    assert session.workspace == "branch", session
    assert session.position_by_database == {"swap1": Position(TERM, sequence)}, session


@then("each of them has its answer")
def all_answered(context: Context) -> None:
    """Count the answers."""
    answered = [reply for reply in context.replies if reply.reply.is_ok()]
    assert len(answered) == context.count, len(answered)


async def _read(answer: Answer, tokens: list[str]) -> list[CallerReply]:
    inbox_send, inbox = open_memory_channel[GatewayEvent](1_000)
    owner, owner_inbox = open_memory_channel[RoutedSubmission](1_000)
    peer_client, _ = open_memory_channel[PeerClientEvent](1)
    owners = {"swap1": owner}
    policies = ExperimentSettings()
    gateway = Gateway(ADDRESS, inbox, inbox_send, owners, peer_client, TOKENS, policies)
    inbox_send.send_nowait(_snapshot())
    receivers = []
    replies = []
    with fail_after(5):
        async with open_nursery() as nursery:
            for token in tokens:
                reply_to, receive = open_memory_channel[CallerReply](1)
                receivers.append(receive)
                submission = CallerSubmission(_request(token), reply_to)
                inbox_send.send_nowait(submission)
            nursery.start_soon(gateway.run)
            nursery.start_soon(_answer_all, owner_inbox, answer)
            for receive in receivers:
                replies.append(await receive.receive())
            nursery.cancel_scope.cancel()
    return replies


async def _answer_all(
    inbox: MemoryReceiveChannel[RoutedSubmission], answer: Answer
) -> None:
    async for submission in inbox:
        reply = RoutedReply(submission.request.id, Ok(answer))
        submission.reply_to.send_nowait(reply)


def _request(token: str) -> CallerRequest:
    return CallerRequest(
        key=KEY,
        kind=RequestKind.READ,
        database="swap1",
        statements=(Statement("SELECT 1", ()),),
        idempotency_key="",
        session_token=token,
        max_staleness=None,
        deadline=current_time() + 5,
        transaction_id="",
        page_rows=1,
        offset=0,
    )


def _snapshot() -> ControlSnapshot:
    document = initial_configuration()
    document["version"] = 1
    document["head_office"]["highest"] = {"rate": 1e6, "burst": 1_000_000}
    limits = {"rate": 1e6, "burst": 1_000_000}
    document["workspace_by_name"] = {"branch": {"overrides": limits, "databases": []}}
    key_id = sha256(KEY.encode()).hexdigest()
    document["key_by_id"] = {key_id: {"workspace": "branch", "withdrawn": False}}
    view = View(1, {"i1": ViewMember(ADDRESS, "zone-a")})
    return ControlSnapshot(
        "i1",
        current_time() + 60,
        document,
        frozenset(),
        (view,),
        {"swap1": (ADDRESS,)},
    )
