"""Admission request that waits for its reply."""

from typing import NamedTuple

from jackdawspread.messages.fleet.admission_request import AdmissionRequest


class PendingAdmission(NamedTuple):
    """Admission request that gets a reply by ``deadline`` (monotonic seconds)."""

    request: AdmissionRequest
    deadline: float
