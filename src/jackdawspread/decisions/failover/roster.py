"""Members that may hold an acknowledged commit of a group."""

from collections.abc import Iterable

from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.member_listing import MemberListing

# Stands for a member whose id is not known, or whose log is not available any more.
UNKNOWN_MEMBER = ""


def group_roster(
    trigger: FailoverTrigger,
    listings: Iterable[MemberListing],
    recorded: frozenset[str],
) -> frozenset[str]:
    """Return the roster of a group at the time of an attempt.

    Without a record a primary that is not listed is unknown, and counts as a member
    whose log is missing.
    """
    listed = {listing.id for listing in listings if listing.group == trigger.group}
    if not trigger.member:
        return recorded | listed if recorded else frozenset({*listed, UNKNOWN_MEMBER})
    return recorded | listed | {trigger.member}


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
