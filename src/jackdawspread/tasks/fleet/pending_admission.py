"""Operation that waits for its admission."""

from typing import NamedTuple

from jackdawspread.messages.fleet.admission_request import AdmissionRequest


class PendingAdmission(NamedTuple):
    """Question that is answered at ``answer_by`` (monotonic seconds) at the latest."""

    question: AdmissionRequest
    answer_by: float
