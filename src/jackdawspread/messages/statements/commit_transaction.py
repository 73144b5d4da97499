"""End of a transaction that keeps its writes."""

from typing import NamedTuple


class CommitTransaction(NamedTuple):
    """Commits the open transaction."""
