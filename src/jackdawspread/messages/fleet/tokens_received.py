"""Rate tokens that a peer has lent."""

from typing import NamedTuple


class TokensReceived(NamedTuple):
    """Reports tokens of a workspace's rate that this instance may spend."""

    workspace: str
    tokens: int
