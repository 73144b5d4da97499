"""Tokens lent by a peer."""

from typing import NamedTuple


class TokensReceived(NamedTuple):
    """Adds tokens of a workspace's rate to the bucket of this instance."""

    workspace: str
    tokens: int
