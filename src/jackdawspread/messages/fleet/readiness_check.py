"""Query of whether this instance can serve callers."""

from typing import NamedTuple

from trio import MemorySendChannel


class ReadinessCheck(NamedTuple):
    """Asks why the instance can't serve callers; the answer is empty if it can."""

    reply_to: MemorySendChannel[str]
