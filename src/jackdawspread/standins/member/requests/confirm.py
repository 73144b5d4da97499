"""Asks whether the log contains a position in a term."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class Confirm(NamedTuple):
    """Asks whether the log contains a position in a term."""

    term: int
    position: Position
    wait_ms: int = 0
