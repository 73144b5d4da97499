"""Effect: a promotion started."""

from typing import NamedTuple


class PromotionStarted(NamedTuple):
    """Report the start of a promotion in ``term``, and its reason."""

    term: int
    reason: str
