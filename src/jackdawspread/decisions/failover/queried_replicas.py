"""Checks that an attempt has queried every replica of a group."""

from collections.abc import Iterable, Mapping

from jackdawspread.decisions.failover.promotion_candidate import replicas_to_query
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.member_listing import MemberListing


def has_queried_all(
    trigger: FailoverTrigger,
    queried: Iterable[MemberListing],
    listing_by_id: Mapping[str, MemberListing] | None,
) -> bool:
    """Whether all replicas of a list that was read after the pauses were queried.

    A replica that has joined in the meantime may confirm commits of the primary that
    are in none of the paused logs. Without a list the answer is no.
    """
    if listing_by_id is None:
        return False
    listed = replicas_to_query(listing_by_id.values(), trigger.group, trigger.member)
    queried_ids = {replica.id for replica in queried}
    return all(listing.id in queried_ids for listing in listed)
