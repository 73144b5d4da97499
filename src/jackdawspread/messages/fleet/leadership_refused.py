"""Refusal of a member that does not lead."""

from typing import NamedTuple


class LeadershipRefused(NamedTuple):
    """A member that was taken for the primary said that it is not."""

    group: str
    member: str
    at: float
