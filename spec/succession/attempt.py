"""Attempt of one instance to replace a primary."""

from typing import NamedTuple


class Attempt(NamedTuple):
    """Attempt under a token.

    ``outstanding`` are the members of earlier requests that may still be executed, in
    their order. ``seen`` is the end of each paused log, -1 while a member is not paused
    by this attempt. ``is_checked`` states that all replicas were still paused after
    the last pause.
    """

    token: int
    former: int
    outstanding: tuple[int, ...]
    seen: tuple[int, ...]
    is_checked: bool
    has_ordered: bool


IDLE = Attempt(0, 0, (), (-1, -1, -1), False, False)
