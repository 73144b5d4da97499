"""Outcome of an operation."""

from enum import StrEnum


class Outcome(StrEnum):
    """How an operation ended for its caller.

    ``DROPPED`` means that the load tool itself could not start it.
    """

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    DROPPED = "dropped"
