"""Timer: the simulated network delay of an answer is over."""

from typing import NamedTuple

from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.standins.member.events.submission import Submission


class AnswerDue(NamedTuple):
    """Timer: the simulated network delay of an answer is over."""

    submission: Submission
    response: HttpResponse
