"""Position in a database's log."""

from typing import NamedTuple


class Position(NamedTuple):
    """Log entry, identified by the term in which it was written and its sequence.

    If the logs of two members contain the same position, they are equal up to it.
    Positions are ordered by term first, then by sequence number.
    """

    term: int
    sequence: int
