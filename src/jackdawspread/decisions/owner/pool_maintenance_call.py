"""Call that maintains a connection pool."""

from typing import NamedTuple


class PoolMaintenanceCall(NamedTuple):
    """Set-up or check of a pooled connection."""

    address: str
    connection: int
