"""Steps for the callers of the load tool."""

import sys
from math import inf
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from trio import Event, open_memory_channel, open_nursery, open_tcp_listeners, run

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from bench.load.caller import Caller
from bench.load.caller_profile import CallerProfile
from bench.load.operation_record import OperationRecord
from bench.load.outcome import Outcome
from bench.load.scheduled_operation import ScheduledOperation
from bench.operations.claim_packet import ClaimPacket

from jackdawspread.codecs.untyped_json import encode_json
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.tasks.http_server import HttpServer

CLAIMED = {"results": [{"rows": [], "changes": 1}, {"rows": [["c1"]]}]}


@given("an instance that answers {ran} and an instance that acknowledges")
def two_instances(context: Context, ran: str) -> None:
    """Prepare the answers of two instances."""
    refusal = {"code": "some_code", "ran": ran}
    context.answers = [(503, refusal), (200, CLAIMED)]


@when("a caller claims a packet")
def claim(context: Context) -> None:
    """Run one caller against both instances."""
    context.requests = ([], [])
    context.record = run(_claim, context.answers, context.requests, inf)


@when("a caller claims a packet after the end of the run")
def late_claim(context: Context) -> None:
    """Run one caller whose time is over."""
    context.requests = ([], [])
    context.record = run(_claim, context.answers, context.requests, -inf)


async def _claim(
    answers: list[tuple[int, dict]], requests: tuple[list[HttpRequest], ...], end: float
) -> OperationRecord:
    stopping, addresses = Event(), []
    async with open_nursery() as nursery:
        for (status, body), seen in zip(answers, requests, strict=True):
            listener = (await open_tcp_listeners(0, host="127.0.0.1"))[0]
            port = listener.socket.getsockname()[1]
            addresses.append(f"127.0.0.1:{port}")
            handle = _handler(status, body, seen)
            nursery.start_soon(HttpServer(listener, handle, stopping).run)
        give, inbox = open_memory_channel[ScheduledOperation](1)
        records, taken = open_memory_channel[OperationRecord](1)
        profile = CallerProfile("caller-1", "garden1", "key")
        await give.send(ScheduledOperation("c1", 0.0, 0, "swap1", ClaimPacket("p")))
        give.close()
        await Caller(profile, addresses, 0.0, 0.0, end, inbox, records).run()
        nursery.cancel_scope.cancel()
    return taken.receive_nowait()


def _handler(status: int, body: dict, seen: list[HttpRequest]):
    async def handle(request: HttpRequest) -> HttpResponse:
        seen.append(request)
        return HttpResponse(status, (), encode_json(body))

    return handle


@then("both instances saw the same Idempotency-Key and body")
def same_request(context: Context) -> None:
    """Compare what the instances saw."""
    (first,), (second,) = context.requests
    assert first.headers["idempotency-key"] == "c1"
    assert second.headers["idempotency-key"] == "c1"
    assert first.body == second.body


@then("only the first instance was called")
def one_request(context: Context) -> None:
    """Check that the refusal was not repeated."""
    assert [len(seen) for seen in context.requests] == [1, 0], context.requests


@then("no instance was called")
def no_request(context: Context) -> None:
    """Check that the caller made no call."""
    assert [len(seen) for seen in context.requests] == [0, 0], context.requests


@then("the claim is dropped")
def claim_dropped(context: Context) -> None:
    """Check the record."""
    assert context.record.outcome is Outcome.DROPPED, context.record


@then("the claim is acknowledged and effective")
def claim_acknowledged(context: Context) -> None:
    """Check the record."""
    record = context.record
    assert record.outcome is Outcome.ACKNOWLEDGED and record.effective, record
    assert record.marker_matches, record


@then("the claim is refused")
def claim_refused(context: Context) -> None:
    """Check the record."""
    assert context.record.outcome is Outcome.REFUSED, context.record
