"""Question whether this instance can serve."""

from typing import NamedTuple

from trio import MemorySendChannel


class ReadinessCheck(NamedTuple):
    """Asks for the reason why the instance can't serve, empty if it can."""

    reply_to: MemorySendChannel[str]
