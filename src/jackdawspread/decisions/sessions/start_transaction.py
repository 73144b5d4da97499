"""Plan for the start of a transaction."""

from typing import NamedTuple


class StartTransaction(NamedTuple):
    """Starts a transaction; its member is chosen at the first statement."""

    read_only: bool
