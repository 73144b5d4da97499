"""Event: a member answered an open."""

from typing import NamedTuple


class OpenAnswered(NamedTuple):
    """Answer to ``open(term)``."""

    address: str
    term: int
    is_open: bool
