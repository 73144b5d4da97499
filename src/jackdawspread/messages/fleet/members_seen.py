"""Report of the list of members."""

from typing import NamedTuple

from jackdawspread.messages.fleet.member_listing import MemberListing


class MembersSeen(NamedTuple):
    """The whole list of members as read at ``as_of`` (monotonic seconds)."""

    listing_by_id: dict[str, MemberListing]
    as_of: float
