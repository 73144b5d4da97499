"""Doubt about the primary of a group."""

from typing import NamedTuple


class FailoverTrigger(NamedTuple):
    """Says why the primary of a group may have to be replaced.

    Parameters
    ----------
    group : str
        Member group.
    member : str
        Id of the primary; empty if none is known.
    planned : bool
        Whether the primary is alive and about to leave.
    stalled : bool
        Whether it is alive but does not get writes confirmed.
    reason : str
        What was seen.
    """

    group: str
    member: str
    planned: bool
    stalled: bool
    reason: str
