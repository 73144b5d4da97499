"""Promotion calls are executed late and their answers are lost."""

from typing import NamedTuple


class DelayPromotions(NamedTuple):
    """Promotion calls are executed late and their answers are lost."""
