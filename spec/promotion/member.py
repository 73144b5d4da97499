"""Member of a database."""

from typing import NamedTuple


class Member(NamedTuple):
    """Log of a member as the terms of its entries, and the newest promise.

    ``term`` is the term in which the member is primary or follows.
    """

    log: tuple[int, ...]
    promised: int
    term: int
    primary: bool
