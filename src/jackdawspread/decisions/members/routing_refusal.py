"""Requests that no member can serve however long they wait."""

from collections.abc import Mapping
from enum import StrEnum

from jackdawspread.decisions.evacuations.evacuated_members import (
    are_all_evacuated,
    has_successor,
    is_evacuated,
)
from jackdawspread.decisions.members.group_state import GroupState
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.member_requirement import MemberRequirement


class RoutingRefusal(StrEnum):
    """Why a request is refused at once."""

    EVACUATED = "evacuated"
    REGION = "region"


DETAIL_BY_REASON = {
    RoutingRefusal.EVACUATED: "the failure domains of all members are evacuated",
    RoutingRefusal.REGION: "no member that could run this is in an allowed region",
}


def is_region_allowed(
    request: ConnectionRequest,
    failure_domain: str,
    region_by_domain: Mapping[str, str],
) -> bool:
    """Whether a request may be sent to a member or host of a failure domain."""
    if not request.allowed_regions:
        return True
    return region_by_domain.get(failure_domain) in request.allowed_regions


def routing_refusal(
    state: GroupState,
    request: ConnectionRequest,
    region_by_domain: Mapping[str, str],
    now: float,
) -> RoutingRefusal | None:
    """Return why a request can't be served, None if it may become possible soon.

    A request that waits for a member which an operator has excluded would only be
    refused later.
    """
    listings = state.listing_by_id.values()
    if are_all_evacuated(listings, state.work_until_by_domain, now):
        return RoutingRefusal.EVACUATED
    needed = list(listings)
    primary = state.listing_by_id.get(state.primary)
    if request.requirement is MemberRequirement.PRIMARY and primary is not None:
        if is_evacuated(primary, state.work_until_by_domain, now) and not has_successor(
            listings, state.work_until_by_domain, primary.id
        ):
            return RoutingRefusal.EVACUATED
        needed = [primary]
    if needed and not any(
        is_region_allowed(request, listing.failure_domain, region_by_domain)
        for listing in needed
    ):
        return RoutingRefusal.REGION
    return None
