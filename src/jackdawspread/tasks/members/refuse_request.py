"""Refuses requests for member connections, and counts what becomes of them."""

from absl import logging
from trio import BrokenResourceError

from jackdawspread.decisions.members.waiting_refusal import DISPLACED, WaitingRefusal
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.refusal import Refusal
from jackdawspread.tasks.fleet.fleet_metrics import MEMBER_ADMISSIONS

STEP = "pool"


def refuse(
    request: ConnectionRequest,
    code: str,
    detail: str,
    member: str = "",
    retry_after_ms: int = 0,
) -> None:
    """Refuse a request for a connection; nothing has run for it."""
    try:
        request.reply_to.send_nowait(
            Refusal(code, ExecutionStatus.NOT_RUN, STEP, member, detail, retry_after_ms)
        )
    except BrokenResourceError:
        logging.vlog(1, "pool: the request for a connection was cancelled")


def refuse_waiting_request(refusal: WaitingRefusal, waiting: int, member: str) -> None:
    """Refuse a request that would not get its turn in time."""
    wait_ms = 1000 * refusal.wait_s
    detail = f"{waiting} statements wait, expected wait {wait_ms:.0f} ms"
    if refusal.reason == DISPLACED:
        detail = f"displaced by more urgent statements, {detail}"
    retry_after_ms = round(1000 * refusal.retry_after_s)
    refuse(refusal.request, "busy", detail, member, retry_after_ms)
    count_admission(refusal.reason.replace(" ", "_"), refusal.request)


def log_refusal(refusal: WaitingRefusal, waiting: int, member: str) -> None:
    """Log the decision to refuse a request before its time has expired."""
    logging.info(
        "pool: refused member=%s workspace=%s priority=%d waiting=%d wait_ms=%.0f "
        "retry_after_ms=%.0f reason=%r",
        member,
        refusal.request.workspace,
        refusal.request.priority,
        waiting,
        1000 * refusal.wait_s,
        1000 * refusal.retry_after_s,
        refusal.reason,
    )


def count_admission(result: str, request: ConnectionRequest) -> None:
    """Count a request by what became of it and by its priority."""
    MEMBER_ADMISSIONS.labels(result, str(request.priority)).inc()
