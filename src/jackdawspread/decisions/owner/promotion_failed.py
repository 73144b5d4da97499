"""Effect: a promotion failed."""

from typing import NamedTuple


class PromotionFailed(NamedTuple):
    """Report that the promotion in ``term`` failed, and why."""

    term: int
    reason: str
