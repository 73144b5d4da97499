"""Effect: make a member replicate from a primary."""

from typing import NamedTuple


class SendFollow(NamedTuple):
    """Send ``follow(term, primary)`` to a member."""

    address: str
    term: int
    primary: str
