"""Members that have left the list and may still confirm commits.

The entry of a member that can't reach the store expires, although the member goes on
serving its group.
"""

from collections.abc import Mapping
from typing import NamedTuple

from jackdawspread.messages.fleet.member_listing import MemberListing

# Members that were listed longer ago are taken for gone.
DEPARTED_S = 150.0


class DepartedMember(NamedTuple):
    """Entry of a member that is not listed any more.

    Parameters
    ----------
    listing : MemberListing
        Its last entry.
    departed_at : float
        Monotonic time in seconds at which the first list without it was read.
    """

    listing: MemberListing
    departed_at: float


def update_departed(
    departed: Mapping[str, DepartedMember],
    before: Mapping[str, MemberListing],
    listed: Mapping[str, MemberListing],
    now: float,
) -> dict[str, DepartedMember]:
    """Return the departed members by id after a list was read at ``now``.

    ``before`` is the list before. A member whose address another one uses is gone.
    """
    addresses = {listing.address for listing in listed.values()}
    left = {
        id: DepartedMember(listing, now)
        for id, listing in before.items()
        if id not in listed
    }
    return {
        id: member
        for id, member in {**departed, **left}.items()
        if id not in listed
        and member.listing.address not in addresses
        and now - member.departed_at < DEPARTED_S
    }


def departed_of(
    departed: Mapping[str, DepartedMember], group: str
) -> tuple[MemberListing, ...]:
    """Return the last entries of the departed members of a group, ordered by id."""
    listings = (member.listing for member in departed.values())
    return tuple(sorted(listing for listing in listings if listing.group == group))
