"""Makes the member a replica of the primary at an address."""

from typing import NamedTuple


class Follow(NamedTuple):
    """Makes the member a replica of the primary at an address."""

    term: int
    address: str
