"""List of members as it was last read."""

from typing import NamedTuple

from jackdawspread.messages.fleet.member_listing import MemberListing


class MembersSeen(NamedTuple):
    """Reports the complete list of members.

    Parameters
    ----------
    listing_by_id : dict
        All entries in the store, by the ids of the members.
    as_of : float
        Monotonic time in seconds at which the list was read.
    is_whole : bool
        Whether each member that lives can have registered. Just after an outage of the
        store one may still be missing.
    """

    listing_by_id: dict[str, MemberListing]
    as_of: float
    is_whole: bool = True
