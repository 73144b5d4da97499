"""Effect: ask a member for a promise."""

from typing import NamedTuple


class SendPrepare(NamedTuple):
    """Send ``prepare(term)`` to a member."""

    address: str
    term: int
