"""Timer: the service time of a statement is over."""

from typing import NamedTuple

from jackdawspread.standins.member.events.submission import Submission


class ServiceTimeElapsed(NamedTuple):
    """Timer: the service time of a statement is over."""

    submission: Submission
