"""Chooses the member that is promoted in place of a primary.

With synchronous replication every acknowledged commit is on the primary and on at
least one replica. Once all replicas but one are paused, the log of the remaining one
contains every acknowledged commit as soon as it reaches the end of the most advanced
paused log.
"""

from collections.abc import Collection, Iterable

from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing


def replicas_to_query(
    listings: Iterable[MemberListing], group: str, primary: str
) -> tuple[MemberListing, ...]:
    """Return the replicas of a group, whose logs are compared, ordered by id."""
    members = [listing for listing in listings if listing.group == group]
    return tuple(sorted(listing for listing in members if listing.id != primary))


def most_advanced_log(
    statuses: Collection[LogStatus], leaving: Collection[str], ordered: str = ""
) -> LogStatus | None:
    """Return the most advanced log, which contains every acknowledged commit.

    Among equal logs the member whose promotion an earlier attempt requested is
    preferred, because that request may still be executed. None if the most advanced
    log is found only at members that are leaving.
    """
    if not statuses:
        return None
    end = max(status.received for status in statuses)
    eligible = [
        status
        for status in statuses
        if status.received == end and status.member not in leaving
    ]
    return min(eligible, key=lambda s: (s.member != ordered, s.member), default=None)


def next_term(statuses: Iterable[LogStatus]) -> int:
    """Return a term that is greater than every term that the members have seen."""
    return 1 + max(status.term for status in statuses)
