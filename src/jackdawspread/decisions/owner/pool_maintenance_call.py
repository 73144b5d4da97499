"""Call that keeps a pool in order."""

from typing import NamedTuple


class PoolMaintenanceCall(NamedTuple):
    """Set-up or check of a pooled connection."""

    address: str
    connection: int
