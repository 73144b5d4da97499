"""Datagram that answers a request for a token."""

from typing import NamedTuple


class TokenReply(NamedTuple):
    """Answers the request with this ``id``.

    Parameters
    ----------
    id : int
        Id of the request.
    granted : bool
        Whether one token was taken from the bucket of the sender.
    wait_ms : int
        Milliseconds until the bucket has the next token.
    """

    id: int
    granted: bool
    wait_ms: int
