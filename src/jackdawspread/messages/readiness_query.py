"""Query for the readiness of an instance."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.readiness import Readiness


class ReadinessQuery(NamedTuple):
    """Asks the gateway whether it would admit a request now."""

    reply_to: MemorySendChannel[Readiness]
