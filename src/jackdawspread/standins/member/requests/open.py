"""Makes the member the primary of the term that it promised."""

from typing import NamedTuple


class Open(NamedTuple):
    """Makes the member the primary of the term that it promised."""

    term: int
