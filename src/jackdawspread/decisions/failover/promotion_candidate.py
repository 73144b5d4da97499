"""Chooses the member that takes over from a primary.

With synchronous replication every acknowledged commit is on the primary and on at
least one replica. Once all replicas but one are paused, the log of that one holds
every acknowledged commit as soon as it reaches the furthest paused log.
"""

from collections.abc import Collection, Iterable

from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing


def replicas_to_query(
    listings: Iterable[MemberListing], group: str, primary: str
) -> tuple[MemberListing, ...]:
    """Return the members whose logs decide, in the order of their ids."""
    members = [listing for listing in listings if listing.group == group]
    return tuple(sorted(listing for listing in members if listing.id != primary))


def most_advanced_log(
    statuses: Collection[LogStatus], leaving: Collection[str], ordered: str = ""
) -> LogStatus | None:
    """Return the log that holds every acknowledged commit, if its member stays.

    Among equal logs the member that an earlier attempt ordered goes first, as that
    order may still be carried out. None if the furthest log belongs only to members
    that are leaving.
    """
    if not statuses:
        return None
    end = max(status.received for status in statuses)
    able = [
        status
        for status in statuses
        if status.received == end and status.member not in leaving
    ]
    return min(able, key=lambda s: (s.member != ordered, s.member), default=None)


def next_term(statuses: Iterable[LogStatus]) -> int:
    """Return a term above every term that the members have seen."""
    return 1 + max(status.term for status in statuses)
