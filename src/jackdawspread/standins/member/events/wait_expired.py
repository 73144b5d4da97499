"""Timer: the longest wait of a request is over."""

from typing import NamedTuple

from jackdawspread.standins.member.events.submission import Submission


class WaitExpired(NamedTuple):
    """Timer: the longest wait of a request is over."""

    submission: Submission
