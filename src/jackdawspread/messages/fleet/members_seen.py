"""List of members as it was last read."""

from typing import NamedTuple

from jackdawspread.messages.fleet.member_listing import MemberListing


class MembersSeen(NamedTuple):
    """Reports the complete list of members, read at ``as_of`` (monotonic seconds)."""

    listing_by_id: dict[str, MemberListing]
    as_of: float
