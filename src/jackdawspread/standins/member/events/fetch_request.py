"""Order to poll the primary once."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class FetchRequest(NamedTuple):
    """Position after which entries are wanted, in the term that is followed."""

    term: int
    after: Position
    wait_ms: int
