"""Datagram that hands tokens to a peer."""

from typing import NamedTuple


class TokenGrant(NamedTuple):
    """Answers the request ``id`` with a number of tokens, which may be 0."""

    id: int
    tokens: int
