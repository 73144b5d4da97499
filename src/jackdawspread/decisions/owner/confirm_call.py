"""Confirmation in flight."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class ConfirmCall(NamedTuple):
    """Question to a replica whether it holds a position in a term."""

    address: str
    connection: int
    term: int
    position: Position
