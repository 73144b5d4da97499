"""Failure of a call to a member."""

from typing import NamedTuple


class MemberCallFailure(NamedTuple):
    """Call without an answer; ``was_sent`` if any byte may have reached the member."""

    was_sent: bool
    detail: str
