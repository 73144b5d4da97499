"""End of a transaction that drops its writes."""

from typing import NamedTuple


class RollbackTransaction(NamedTuple):
    """Rolls the open transaction back."""
