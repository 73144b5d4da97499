"""Requests the log entries after a position."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class Replicate(NamedTuple):
    """Requests the log entries after a position."""

    term: int
    after: Position
    wait_ms: int = 0
    name: str = ""
