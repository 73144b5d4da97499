"""Rolls an interactive transaction back."""

from typing import NamedTuple


class Rollback(NamedTuple):
    """Rolls an interactive transaction back."""

    transaction: str
