"""Plan for the start of a transaction."""

from typing import NamedTuple


class StartTransaction(NamedTuple):
    """Admits an operation; a member is chosen at its first statement."""

    read_only: bool
