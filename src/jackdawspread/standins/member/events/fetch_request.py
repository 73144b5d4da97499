"""Command to fetch log entries from the primary once."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class FetchRequest(NamedTuple):
    """Request for the entries after a position, in the term of the primary."""

    term: int
    after: Position
    wait_ms: int
