"""Effect: make a member the primary of a term."""

from typing import NamedTuple


class SendOpen(NamedTuple):
    """Send ``open(term)`` to a member."""

    address: str
    term: int
