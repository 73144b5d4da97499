"""Event: a member answered a ``prepare``."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class PromiseReceived(NamedTuple):
    """Answer to ``prepare(term)``.

    ``promised`` is the greatest term that the member has promised.
    """

    address: str
    term: int
    is_granted: bool
    promised: int
    position: Position
