"""Request to borrow rate tokens from other instances."""

from typing import NamedTuple


class BorrowTokens(NamedTuple):
    """Requests a loan of tokens of a workspace's rate from each peer.

    A loan moves rate tokens from the bucket of one instance to that of another.
    """

    workspace: str
    tokens: int
