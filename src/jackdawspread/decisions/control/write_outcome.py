"""Outcome of a write to the platform, as shown by a later read."""

from enum import Enum


class WriteOutcome(Enum):
    """Outcome of a write, as shown by a later read of its row.

    ``STORED`` and ``LOST`` mean that this write, or another one, made the version
    after the expected one. ``UNDECIDED`` means that the row still has the expected
    version, so a copy of the write may still be stored. ``FORGOTTEN`` means that the
    row no longer holds the id of the write that made that version.
    """

    STORED = "stored"
    LOST = "lost"
    UNDECIDED = "undecided"
    FORGOTTEN = "forgotten"
