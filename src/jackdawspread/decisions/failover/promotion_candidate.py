"""Chooses the member that is promoted in place of a primary.

With synchronous replication every acknowledged commit is on two members of the roster:
on the primary and on a replica. A member whose log is at least as advanced as those of
all other members of the roster but one therefore has every acknowledged commit. A
replica that no list names yet is not in the roster, so the log also has to reach what
instances say that they have acknowledged.
"""

from collections.abc import Collection, Iterable

from jackdawspread.decisions.failover.promotion_evidence import PromotionEvidence
from jackdawspread.decisions.failover.roster import UNKNOWN_ADDRESS
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing

# Members that hold an acknowledged commit, less one.
MAX_UNCOVERED = 1
# One log has nothing to be compared with.
MIN_LOGS = 2


def replicas_to_query(
    listings: Iterable[MemberListing], group: str, primary: str
) -> tuple[MemberListing, ...]:
    """Return the replicas of a group, whose logs are compared, ordered by id."""
    members = [listing for listing in listings if listing.group == group]
    return tuple(sorted(listing for listing in members if listing.id != primary))


def uncovered_members(
    candidate: LogStatus, evidence: PromotionEvidence
) -> frozenset[str]:
    """Return the addresses whose log may have a commit that the candidate lacks."""
    covered = {
        evidence.address_by_member[status.member]
        for status in evidence.status_by_member.values()
        if status.received <= candidate.received
    }
    return evidence.roster - covered


def choose_candidate(evidence: PromotionEvidence) -> LogStatus | None:
    """Return the member to promote; None if no log is known to be complete.

    The member whose promotion was requested earlier comes first, also if it leaves,
    because that request may still be executed before the next one. Then members that
    stay are preferred to leaving ones, and replicas to the demoted primary, which was
    replaced for a reason.
    """
    statuses = evidence.status_by_member.values()
    complete = [status for status in statuses if _is_complete(status, evidence)]
    if len(statuses) < MIN_LOGS or not complete:
        return None
    newest = max(complete, key=lambda status: status.received).received

    def preference(status: LogStatus) -> tuple[bool, bool, bool, bool, str]:
        return (
            status.member != evidence.requested_earlier,
            status.member in evidence.leaving,
            status.member == evidence.demoted_primary,
            status.received != newest,
            status.member,
        )

    return min(complete, key=preference)


def silent_addresses(evidence: PromotionEvidence) -> frozenset[str]:
    """Return the addresses in the roster from which no log status came."""
    answered = {evidence.address_by_member[id] for id in evidence.status_by_member}
    return evidence.roster - answered


def without_departed(
    evidence: PromotionEvidence, listed: Collection[str], primary: str
) -> PromotionEvidence:
    """Return the evidence without the members that are gone.

    ``listed`` holds the addresses of the listed members, ``primary`` that of the former
    primary. Replicas that are listed still count, also if they did not answer. One
    unknown member stands for all that are gone and for a silent primary: each remaining
    log may share a commit with it, so only the most advanced one is complete.
    """
    remaining = evidence.roster & frozenset(listed)
    if primary in silent_addresses(evidence):
        remaining -= {primary}
    return evidence._replace(roster=remaining | {UNKNOWN_ADDRESS})


def most_advanced_log(
    statuses: Collection[LogStatus], leaving: Collection[str]
) -> LogStatus | None:
    """Return the most advanced log, None if it is found only at leaving members."""
    if not statuses:
        return None
    end = max(status.received for status in statuses)
    eligible = [
        status
        for status in statuses
        if status.received == end and status.member not in leaving
    ]
    return min(eligible, key=lambda status: status.member, default=None)


def _is_complete(status: LogStatus, evidence: PromotionEvidence) -> bool:
    if status.member in evidence.unlisted:
        return False
    acknowledged = evidence.acknowledged
    if acknowledged is not None and status.received < acknowledged:
        return False
    if _was_newest_primary(status.member, evidence):
        return True
    return len(uncovered_members(status, evidence)) <= MAX_UNCOVERED


def _was_newest_primary(member: str, evidence: PromotionEvidence) -> bool:
    """Whether a member was demoted while it was certainly the newest primary.

    It has every commit that it acknowledged, and those from before its term. A request
    to promote another member may have been executed before it was demoted.
    """
    is_newest = evidence.requested_earlier in ("", member)
    return member == evidence.demoted_primary and is_newest
