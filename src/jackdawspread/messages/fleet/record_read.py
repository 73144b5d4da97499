"""Read of a record in the platform's store."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.record_outcome import RecordOutcome


class RecordRead(NamedTuple):
    """Asks the platform's store for one record."""

    name: str
    reply_to: MemorySendChannel[RecordOutcome]
