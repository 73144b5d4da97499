"""Request of a peer for rate tokens."""

from typing import NamedTuple

from trio import MemorySendChannel


class LendTokens(NamedTuple):
    """Asks the admission task for tokens that this instance can lend.

    The tokens leave the bucket before they are sent to the peer, so a lost answer
    wastes them but never doubles them. ``reply_to`` receives the number of tokens.
    """

    workspace: str
    tokens: int
    reply_to: MemorySendChannel[int]
