"""Datagram that asks an instance to demote a primary."""

from typing import NamedTuple


class PrimaryDemotionRequest(NamedTuple):
    """Asks for the demotion of a primary which the sender can't reach.

    Parameters
    ----------
    id : int
        Id of the request, which the sender uses for one request to one instance.
    group : str
        Member group.
    member : str
        Id of the primary.
    term : int
        Term of the demotion, under which the sender has paused the replicas.
    """

    id: int
    group: str
    member: str
    term: int
