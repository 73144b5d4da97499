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
    """

    name: str
    max_connections: int
