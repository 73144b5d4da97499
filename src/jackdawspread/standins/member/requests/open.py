"""Makes the member the primary of a promised term."""

from typing import NamedTuple


class Open(NamedTuple):
    """Makes the member the primary of a promised term."""

    term: int
