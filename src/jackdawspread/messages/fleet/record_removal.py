"""Removal of a record from the platform's store."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.record_outcome import RecordOutcome


class RecordRemoval(NamedTuple):
    """Removes a record if it still has the expected version."""

    name: str
    expected_version: int
    reply_to: MemorySendChannel[RecordOutcome]
