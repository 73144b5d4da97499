"""Plan for the end of a transaction."""

from typing import NamedTuple


class FinishTransaction(NamedTuple):
    """Commits the transaction at its member, or rolls it back."""

    commit: bool
