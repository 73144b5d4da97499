"""Outcome of a write as a read of the platform shows it."""

from enum import Enum


class WriteOutcome(Enum):
    """What a read tells about a write.

    ``UNDECIDED``: the row still has the expected version, so a copy of the write
    may be stored yet. ``FORGOTTEN``: the row no longer names the write that made
    the version after the expected one.
    """

    STORED = "stored"
    LOST = "lost"
    UNDECIDED = "undecided"
    FORGOTTEN = "forgotten"
