"""Reply of a holder of a rate lease."""

from typing import NamedTuple

from jackdawspread.messages.fleet.token_reply import TokenReply


class TokenReplied(NamedTuple):
    """Reports a reply and the ``IP:port`` of the holder that sent it."""

    reply: TokenReply
    holder: str
