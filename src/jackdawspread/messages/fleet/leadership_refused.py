"""Report that a member is not the primary."""

from typing import NamedTuple


class LeadershipRefused(NamedTuple):
    """A member that was treated as the primary reported that it is not."""

    group: str
    member: str
    at: float
