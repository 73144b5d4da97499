"""Position in a database's log."""

from typing import NamedTuple


class Position(NamedTuple):
    """Log entry, identified by the term that wrote it and its sequence number.

    Two members whose logs hold the same position hold the same log up to it.
    Positions order by term first, then by sequence number.
    """

    term: int
    sequence: int
