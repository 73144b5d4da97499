"""Result of a promotion request."""

from enum import StrEnum


class PromotionResult(StrEnum):
    """Whether the platform accepted a promotion.

    After ``UNKNOWN`` the promotion may still take effect.
    """

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
