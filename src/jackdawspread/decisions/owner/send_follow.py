"""Effect: make a member follow a primary."""

from typing import NamedTuple


class SendFollow(NamedTuple):
    """Send ``follow(term, primary)`` to a member."""

    address: str
    term: int
    primary: str
