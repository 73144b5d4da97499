"""Attempt of one instance to replace a primary."""

from typing import NamedTuple


class Attempt(NamedTuple):
    """Attempt under a token.

    ``named`` are the members of the requests in the record, and ``outstanding`` those
    of the requests that may still change the primary, both in their order. ``seen`` is
    the end of each log that can't grow, -1 while its member is neither paused nor
    demoted by this attempt. ``is_checked`` states that all replicas were still paused
    after the last pause.
    """

    token: int
    former: int
    named: tuple[int, ...]
    outstanding: tuple[int, ...]
    seen: tuple[int, ...]
    is_checked: bool
    has_ordered: bool


IDLE = Attempt(0, 0, (), (), (-1, -1, -1), False, False)
