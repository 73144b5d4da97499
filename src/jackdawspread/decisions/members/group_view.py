"""Beliefs about the members of one group."""

from typing import NamedTuple

from jackdawspread.decisions.members.leader_sample import LeaderSample
from jackdawspread.decisions.succession.suspicion import Suspicion
from jackdawspread.messages.fleet.member_listing import MemberListing


class GroupView(NamedTuple):
    """What an instance believes of a group.

    Parameters
    ----------
    listing_by_id : dict
        Members that the list names.
    primary : str
        Id of the member taken for the primary; empty if none is.
    refused_at_by_member : dict
        Monotonic time at which a member last said that it does not lead.
    lagged_at_by_member : dict
        Monotonic times at which a replica lacked a position.
    failed_at_by_member : dict
        Monotonic time at which a member last could not be reached.
    leaving_at_by_member : dict
        Monotonic time at which a member was first seen to be leaving.
    samples : tuple of LeaderSample
        Positions of the primary at known times.
    suspicion : Suspicion
        What speaks against the primary.
    leaderless_since : float
        Monotonic time since when no primary is known; 0 while one is.
    """

    listing_by_id: dict[str, MemberListing] = {}
    primary: str = ""
    refused_at_by_member: dict[str, float] = {}
    lagged_at_by_member: dict[str, tuple[float, ...]] = {}
    failed_at_by_member: dict[str, float] = {}
    leaving_at_by_member: dict[str, float] = {}
    samples: tuple[LeaderSample, ...] = ()
    suspicion: Suspicion = Suspicion()
    leaderless_since: float = 0.0
