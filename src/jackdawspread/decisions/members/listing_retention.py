"""Keeps members that the list lost while the store was away."""

from jackdawspread.messages.fleet.member_listing import MemberListing

# Entries that expired during an outage are back this soon after its end.
RETURN_S = 2.5


def retain_members(
    known: dict[str, MemberListing],
    listed: dict[str, MemberListing],
    outage_ended_at: float,
    now: float,
) -> dict[str, MemberListing]:
    """Return the members to believe in after the list was read.

    A member that is missing just after an outage of the store may live, as its
    entry lapsed while it could not renew it.
    """
    if now - outage_ended_at > RETURN_S:
        return listed
    return {**known, **listed}
