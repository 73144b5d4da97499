"""Answers operations that ask for admission."""

from absl import logging
from trio import BrokenResourceError

from jackdawspread.messages.fleet.admission_request import AdmissionRequest
from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.refusal import Refusal
from jackdawspread.tasks.fleet.fleet_metrics import ADMISSIONS


def send_admission_reply(
    question: AdmissionRequest, answer: OperationAdmitted | Refusal
) -> None:
    """Send the answer to an operation's session and count it."""
    if question.spend:
        code = answer.code if isinstance(answer, Refusal) else "admitted"
        ADMISSIONS.labels(code).inc()
    try:
        question.reply_to.send_nowait(answer)
    except BrokenResourceError:
        logging.vlog(1, "admission: the session is gone")
