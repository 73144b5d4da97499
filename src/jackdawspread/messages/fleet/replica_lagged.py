"""Report that a replica has not applied a required log position."""

from typing import NamedTuple


class ReplicaLagged(NamedTuple):
    """A replica refused a read because its log lacked the required position."""

    group: str
    member: str
    at: float
