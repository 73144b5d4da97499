"""Commit of a transaction."""

from typing import NamedTuple


class CommitTransaction(NamedTuple):
    """Commits the open transaction."""
