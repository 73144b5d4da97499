"""Group of members that replicate one log."""

from typing import NamedTuple


class MemberGroup(NamedTuple):
    """Settings of a group of members.

    Parameters
    ----------
    name : str
        Name of the group.
    max_connections : int
        Number of connections that each member accepts from all instances together.
    cold_rate_per_s : float
        Statements that a member may get each second from all instances together while
        it is slow after its start; 0 if they are not limited.
    sync_replicas : int
        Number of replicas that must have received a commit before a member confirms it;
        0 if it does not wait.
    """

    name: str
    max_connections: int
    cold_rate_per_s: float = 0.0
    sync_replicas: int = 0
