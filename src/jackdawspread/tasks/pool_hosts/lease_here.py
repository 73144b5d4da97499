"""Requests for leases that this instance serves itself."""

from absl import logging
from trio import BrokenResourceError, MemorySendChannel, WouldBlock

from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.refusal import Refusal

STEP = "routing"


def lease_here(
    request: ConnectionRequest, router: MemorySendChannel[RouterEvent]
) -> None:
    """Send a request to this instance's member router; refuse it if that is full."""
    try:
        router.send_nowait(request)
    except WouldBlock:
        detail = "the instance is overloaded"
        refusal = Refusal("busy", ExecutionStatus.NOT_RUN, STEP, "", detail)
        answer_request(request, refusal)


def answer_request(request: ConnectionRequest, answer: MemberLease | Refusal) -> bool:
    """Answer a request for a lease; return whether somebody still waits for it."""
    try:
        request.reply_to.send_nowait(answer)
    except BrokenResourceError:
        logging.vlog(1, "broker: the request for a connection was cancelled")
        return False
    return True
