"""Rolls back an interactive transaction."""

from typing import NamedTuple


class Rollback(NamedTuple):
    """Rolls back an interactive transaction."""

    transaction: str
