"""Effect: a promotion failed."""

from typing import NamedTuple


class PromotionFailed(NamedTuple):
    """Report that the promotion in ``term`` did not succeed."""

    term: int
    reason: str
