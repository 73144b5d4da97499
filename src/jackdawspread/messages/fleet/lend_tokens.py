"""Question of a peer for tokens."""

from typing import NamedTuple

from trio import MemorySendChannel


class LendTokens(NamedTuple):
    """Asks for tokens that this instance can spare.

    The tokens are taken from the bucket before they are handed over, so a lost
    answer wastes them and never doubles them. ``reply_to`` takes their number.
    """

    workspace: str
    tokens: int
    reply_to: MemorySendChannel[int]
