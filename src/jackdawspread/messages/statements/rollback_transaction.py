"""Rollback of a transaction."""

from typing import NamedTuple


class RollbackTransaction(NamedTuple):
    """Rolls back the open transaction."""
