"""Operation that waits for its admission."""

from typing import NamedTuple

from jackdawspread.messages.fleet.admit_operation import AdmitOperation


class WaitingQuestion(NamedTuple):
    """Question that is answered at ``answer_by`` (monotonic seconds) at the latest."""

    question: AdmitOperation
    answer_by: float
