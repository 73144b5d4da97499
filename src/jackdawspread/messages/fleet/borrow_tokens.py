"""Wish for tokens of other instances."""

from typing import NamedTuple


class BorrowTokens(NamedTuple):
    """Asks the peers for tokens of a workspace's rate."""

    workspace: str
    tokens: int
