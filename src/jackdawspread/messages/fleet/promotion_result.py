"""Result of an order to promote."""

from enum import StrEnum


class PromotionResult(StrEnum):
    """Whether a promotion was accepted; after ``UNKNOWN`` it may still happen."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
