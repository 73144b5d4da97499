"""Start of a transaction."""

from typing import NamedTuple


class BeginTransaction(NamedTuple):
    """Begins a transaction; a read-only one may run on a replica."""

    read_only: bool
