"""Beliefs about the members of one group."""

from typing import NamedTuple

from jackdawspread.decisions.failover.primary_health import PrimaryHealth
from jackdawspread.decisions.members.primary_position_sample import (
    PrimaryPositionSample,
)
from jackdawspread.messages.fleet.member_listing import MemberListing


class GroupState(NamedTuple):
    """What an instance believes of a group.

    Parameters
    ----------
    listing_by_id : dict
        Members that the list names.
    primary : str
        Id of the member taken for the primary; empty if none is.
    leadership_refused_at_by_member : dict
        Monotonic time at which a member last said that it does not lead.
    lagged_at_by_member : dict
        Monotonic times at which a replica lacked a position.
    failed_at_by_member : dict
        Monotonic time at which a member last could not be reached.
    leaving_at_by_member : dict
        Monotonic time at which a member was first seen to be leaving.
    samples : tuple of PrimaryPositionSample
        Positions of the primary at known times.
    suspicion : PrimaryHealth
        What speaks against the primary.
    no_primary_since : float
        Monotonic time since when no primary is known; 0 while one is.
    """

    listing_by_id: dict[str, MemberListing] = {}
    primary: str = ""
    leadership_refused_at_by_member: dict[str, float] = {}
    lagged_at_by_member: dict[str, tuple[float, ...]] = {}
    failed_at_by_member: dict[str, float] = {}
    leaving_at_by_member: dict[str, float] = {}
    samples: tuple[PrimaryPositionSample, ...] = ()
    suspicion: PrimaryHealth = PrimaryHealth()
    no_primary_since: float = 0.0
