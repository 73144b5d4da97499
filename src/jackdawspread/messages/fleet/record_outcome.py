"""Outcome of a read or write of a record."""

from typing import NamedTuple

from jackdawspread.messages.fleet.record_status import RecordStatus


class RecordOutcome(NamedTuple):
    """Answer of the store to a read or write of a record.

    Parameters
    ----------
    status : RecordStatus
        Whether the call took effect.
    version : int
        Current version of the record; 0 if it does not exist.
    value : bytes
        Current content, after a read or a version conflict.
    store_time_s : float
        Monotonic clock of the store in seconds; 0 if the store did not answer.
    epoch : int
        Epoch of the store to which the version belongs.
    """

    status: RecordStatus
    version: int = 0
    value: bytes = b""
    store_time_s: float = 0.0
    epoch: int = 0
