"""Transaction phase of a session."""

from enum import StrEnum


class SessionPhase(StrEnum):
    """Whether a transaction is open, and whether it can still commit."""

    IDLE = "idle"
    IN_TRANSACTION = "in_transaction"
    FAILED = "failed"
