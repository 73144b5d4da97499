"""Datagram that lends tokens to a peer."""

from typing import NamedTuple


class TokenGrant(NamedTuple):
    """Answers the request with this ``id`` by a number of tokens, which may be 0."""

    id: int
    tokens: int
