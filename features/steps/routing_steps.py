"""Steps for routing between instances."""

from behave import given, then, when
from behave.runner import Context
from expression import Error

from jackdawspread.codecs.member_protocol import encode_read
from jackdawspread.decisions.owner.member_target import MemberTarget
from jackdawspread.decisions.request_routing import final_reply, may_reroute
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.position import Position
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.messages.statement import Statement

PINNED_KINDS = {RequestKind.EXECUTE, RequestKind.COMMIT}


def _request(kind: str) -> RoutedRequest:
    parsed = RequestKind(kind)
    transaction = "i1.swap1.1" if parsed in PINNED_KINDS else ""
    return RoutedRequest(
        "1", parsed, "garden", "", "swap1", (), "", None, None, 5.0, transaction
    )


@given("a {kind} request that was sent to a peer")
def sent(context: Context, kind: str) -> None:
    context.request = _request(kind)


@when("the peer refuses it with {code} and ran {ran}")
def peer_refuses(context: Context, code: str, ran: str) -> None:
    refusal = Refusal(code, ExecutionStatus(ran), "routing", "", "")
    context.is_allowed = may_reroute(context.request, refusal)


@then("a retry at another instance is {allowed}")
def retry_allowed(context: Context, allowed: str) -> None:
    assert context.is_allowed == (allowed == "allowed")


@given("a read of a session at position {term:d}/{sequence:d}")
def read_of_session(context: Context, term: int, sequence: int) -> None:
    read = _request("read")._replace(
        statements=(Statement("SELECT 1"),), position=Position(term, sequence)
    )
    context.request = read


@when("it is sent to a {role} in term {term:d}")
def read_sent(context: Context, role: str, term: int) -> None:
    target = MemberTarget("member", role, context.request.position, 0)
    context.call = encode_read(context.request, target, term)


@then("the call requires position {term:d}/{sequence:d}")
def requires_position(context: Context, term: int, sequence: int) -> None:
    assert context.call[1]["position"] == Position(term, sequence)


@given("a {kind} request whose first attempt {first}")
def first_attempt(context: Context, kind: str, first: str) -> None:
    context.request = _request(kind)
    context.may_have_run = first == "may have run"


@when("the last attempt is refused with {code} and ran {ran}")
def last_refused(context: Context, code: str, ran: str) -> None:
    refusal = Refusal(code, ExecutionStatus(ran), "queue", "", "")
    context.reply = final_reply(context.request, Error(refusal), context.may_have_run)


@then("the caller receives ran {ran}")
def caller_receives(context: Context, ran: str) -> None:
    assert context.reply.error.ran is ExecutionStatus(ran)
