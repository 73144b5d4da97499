"""Lets one replica of a database fall behind."""

from typing import NamedTuple


class LagReplica(NamedTuple):
    """Lets one replica of a database fall behind by some milliseconds."""

    database: str
    lag_ms: int
