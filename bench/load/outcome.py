"""Outcome of an operation."""

from enum import StrEnum


class Outcome(StrEnum):
    """How an operation ended for its caller.

    ``DROPPED`` means that the load tool made no call: the caller was still busy
    with earlier operations.
    """

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    DROPPED = "dropped"
