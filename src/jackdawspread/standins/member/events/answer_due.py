"""Timer: an answer has passed the simulated network."""

from typing import NamedTuple

from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.standins.member.events.submission import Submission


class AnswerDue(NamedTuple):
    """Timer: an answer has passed the simulated network."""

    submission: Submission
    response: HttpResponse
