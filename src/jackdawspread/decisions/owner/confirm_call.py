"""Confirm call in flight."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class ConfirmCall(NamedTuple):
    """Call that asks a replica whether its log has a position in a term."""

    address: str
    connection: int
    term: int
    position: Position
