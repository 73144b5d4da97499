"""Event: a member answered an ``open``."""

from typing import NamedTuple


class OpenAnswered(NamedTuple):
    """Answer to ``open(term)``; ``is_open`` if the member became the primary."""

    address: str
    term: int
    is_open: bool
