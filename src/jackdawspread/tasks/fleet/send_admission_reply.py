"""Sends and counts the replies to admission requests."""

from absl import logging
from trio import BrokenResourceError

from jackdawspread.messages.fleet.admission_request import AdmissionRequest
from jackdawspread.messages.fleet.continuation_request import ContinuationRequest
from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.refusal import Refusal
from jackdawspread.tasks.fleet.fleet_metrics import ADMISSIONS


def send_admission_reply(
    request: AdmissionRequest | ContinuationRequest, reply: OperationAdmitted | Refusal
) -> None:
    """Send a reply to the session, and count that to a new operation by its code."""
    if isinstance(request, AdmissionRequest) and request.counts_against_rate:
        code = reply.code if isinstance(reply, Refusal) else "admitted"
        ADMISSIONS.labels(code).inc()
    try:
        request.reply_to.send_nowait(reply)
    except BrokenResourceError:
        logging.vlog(1, "admission: reply dropped, the session has ended")
