"""Request for a token that another instance has sent."""

from typing import NamedTuple

from jackdawspread.messages.fleet.token_request import TokenRequest


class TokenRequested(NamedTuple):
    """Reports a request for a token and the ``IP:port`` to which the reply goes.

    The token leaves the bucket before the reply is sent, so a lost reply wastes it but
    never doubles it.
    """

    request: TokenRequest
    peer: str
