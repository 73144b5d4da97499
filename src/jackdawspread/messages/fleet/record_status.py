"""Status of a call to the store."""

from enum import StrEnum


class RecordStatus(StrEnum):
    """Whether a call took effect.

    After ``UNKNOWN`` a write may still take effect seconds later.
    """

    DONE = "done"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"
