"""Unconditional write of a record in the platform's store."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.record_outcome import RecordOutcome


class RecordPut(NamedTuple):
    """Writes a record that only this instance writes."""

    name: str
    value: bytes
    reply_to: MemorySendChannel[RecordOutcome]
