"""Refusal of a replica that lacks a position."""

from typing import NamedTuple


class ReplicaLagged(NamedTuple):
    """A replica did not hold the position that a read needed."""

    group: str
    member: str
    at: float
