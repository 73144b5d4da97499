"""Trigger of a failover attempt."""

from typing import NamedTuple


class FailoverTrigger(NamedTuple):
    """Reports why the primary of a group may have to be replaced.

    Parameters
    ----------
    group : str
        Member group.
    member : str
        Id of the primary; empty if none is known.
    is_planned : bool
        Whether the primary is alive and about to shut down, so that this is a
        switchover.
    writes_stalled : bool
        Whether the primary is alive but its writes are not confirmed by a replica.
    reason : str
        What was observed, for the log.
    evacuated_domains : frozenset of str
        Failure domains whose members may not become the primary.
    withdraws_requests : bool
        Whether the primary stays, and requests to promote other members are to be
        withdrawn.
    fences_acknowledgements : bool
        Whether acknowledgements in the group depend on its promotion state, so that a
        promotion has to fence them.
    """

    group: str
    member: str
    is_planned: bool
    writes_stalled: bool
    reason: str
    evacuated_domains: frozenset[str] = frozenset()
    withdraws_requests: bool = False
    fences_acknowledgements: bool = False
