"""Plan for the end of a transaction."""

from typing import NamedTuple


class FinishTransaction(NamedTuple):
    """Commits at the member, or rolls back."""

    commit: bool
