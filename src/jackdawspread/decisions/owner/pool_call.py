"""Call that keeps a pool in order."""

from typing import NamedTuple


class PoolCall(NamedTuple):
    """Set-up or check of a pooled connection."""

    address: str
    connection: int
