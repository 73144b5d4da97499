"""Entry of a member's log."""

from typing import NamedTuple


class Entry(NamedTuple):
    """Term of an entry, and what it is: ``start``, or whose ``write``."""

    term: int
    kind: str
