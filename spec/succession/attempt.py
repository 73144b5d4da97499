"""Attempt of one instance to replace a primary."""

from typing import NamedTuple


class Attempt(NamedTuple):
    """Attempt under a token.

    ``earlier_ordered`` is the member that an earlier attempt requested to promote, -1
    if none. ``seen`` is the end of each paused log, -1 while a member is not paused
    by this attempt. ``is_checked`` states that all replicas were still paused after
    the last pause.
    """

    token: int
    former: int
    earlier_ordered: int
    seen: tuple[int, ...]
    is_checked: bool
    has_ordered: bool


IDLE = Attempt(0, 0, -1, (-1, -1, -1), False, False)
