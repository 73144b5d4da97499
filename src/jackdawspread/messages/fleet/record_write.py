"""Conditional write of a record in the platform's store."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.record_outcome import RecordOutcome


class RecordWrite(NamedTuple):
    """Writes a record if it still has the version that the writer read.

    Parameters
    ----------
    name : str
        Name of the record.
    expected_version : int
        Version that the record must have; 0 if the record must not exist.
    value : bytes
        New content.
    epoch : int
        Epoch of the store in which it gave that version.
    reply_to : trio.MemorySendChannel
        Receives the outcome.
    """

    name: str
    expected_version: int
    value: bytes
    epoch: int
    reply_to: MemorySendChannel[RecordOutcome]
