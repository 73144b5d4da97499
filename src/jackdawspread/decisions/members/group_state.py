"""State of one member group as tracked by an instance."""

from typing import NamedTuple

from jackdawspread.decisions.failover.primary_health import PrimaryHealth
from jackdawspread.decisions.members.primary_position_sample import (
    PrimaryPositionSample,
)
from jackdawspread.messages.fleet.member_listing import MemberListing


class GroupState(NamedTuple):
    """State of a member group as tracked by an instance.

    Parameters
    ----------
    listing_by_id : dict
        Members in the current member list.
    primary : str
        Id of the member that is treated as the primary; empty if none is known.
    leadership_refused_at_by_member : dict
        Monotonic time at which a member last answered that it is not the primary.
    lagged_at_by_member : dict
        Monotonic times at which a replica lacked a required position.
    failed_at_by_member : dict
        Monotonic time at which a member was last unreachable.
    leaving_at_by_member : dict
        Monotonic time at which the list first marked a member as leaving; -inf if it
        was leaving in the first list that named it.
    samples : tuple of PrimaryPositionSample
        Log positions of the primary at known times, oldest first.
    primary_health : PrimaryHealth
        Recent failures of the primary.
    no_primary_since : float
        Monotonic time since which no primary is known; 0 while one is known.
    cold_until_by_member : dict
        Monotonic time until which a member is slow after its start.
    work_until_by_domain : dict
        Evacuated failure domains, and the monotonic time until which the primary may
        still get work there. Replicas in them get none.
    """

    listing_by_id: dict[str, MemberListing] = {}
    primary: str = ""
    leadership_refused_at_by_member: dict[str, float] = {}
    lagged_at_by_member: dict[str, tuple[float, ...]] = {}
    failed_at_by_member: dict[str, float] = {}
    leaving_at_by_member: dict[str, float] = {}
    samples: tuple[PrimaryPositionSample, ...] = ()
    primary_health: PrimaryHealth = PrimaryHealth()
    no_primary_since: float = 0.0
    cold_until_by_member: dict[str, float] = {}
    work_until_by_domain: dict[str, float] = {}
