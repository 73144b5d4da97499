"""Members that may hold an acknowledged commit of a group.

A roster names them by address: a member that returns after a crash has the same log at
the same address, but another id.
"""

from collections.abc import Iterable

from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.member_listing import MemberListing

# Stands for a member whose address is not known, or whose log is not available any
# more.
UNKNOWN_ADDRESS = ""


def group_roster(
    trigger: FailoverTrigger,
    listings: Iterable[MemberListing],
    recorded: frozenset[str],
) -> frozenset[str]:
    """Return the roster of a group at the time of an attempt.

    Without a record a primary that is not listed is unknown, and counts as a member
    whose log is missing.
    """
    address_by_member = {
        listing.id: listing.address
        for listing in listings
        if listing.group == trigger.group
    }
    listed = frozenset(address_by_member.values())
    if recorded or trigger.member in address_by_member:
        return recorded | listed
    return listed | {UNKNOWN_ADDRESS}


def next_roster(
    recorded: frozenset[str],
    previous: frozenset[str],
    listed: frozenset[str],
    is_covered: bool,
) -> frozenset[str]:
    """Return the roster to record after a list was read.

    Members that have left stay in it until every commit that they confirmed is known
    to be on the primary and on a listed replica. A member that is recorded but not in
    the previous roster of this instance may have joined after the list was read.
    """
    if is_covered:
        return listed | (recorded - previous)
    return recorded | previous | listed
