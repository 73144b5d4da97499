"""Members to which a command may be sent for another instance."""

from jackdawspread.decisions.members.group_state import GroupState
from jackdawspread.messages.fleet.member_listing import MemberListing


def reachable_member(state: GroupState, member: str) -> MemberListing | None:
    """Return the entry of a member.

    The result is None if it is not listed, or is the primary and has failed since its
    last answer.
    """
    if member == state.primary and state.primary_health.failure_count > 0:
        return None
    return state.listing_by_id.get(member)
