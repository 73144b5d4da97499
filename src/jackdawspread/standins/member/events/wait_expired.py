"""Timer: the wait time that a request allows is over."""

from typing import NamedTuple

from jackdawspread.standins.member.events.submission import Submission


class WaitExpired(NamedTuple):
    """Timer: the wait time that a request allows is over."""

    submission: Submission
