"""Query whether an instance is ready."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.readiness import Readiness


class ReadinessQuery(NamedTuple):
    """Asks the gateway whether it would admit a request now."""

    reply_to: MemorySendChannel[Readiness]
