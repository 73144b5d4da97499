"""Promotion requests that may still be executed.

A request without an answer may be executed late, until the platform has received a
request with a higher fencing token.
"""

from collections.abc import Sequence

from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.member_listing import MemberListing


def outstanding_requests(record: PromotionLockRecord, primary: str) -> tuple[str, ...]:
    """Return the members whose promotion may still happen, in order of the requests.

    ``primary`` is a member that is certainly the primary, empty if none is known to be:
    the request that made it the primary raised the token above that of all earlier
    ones, and repeating it has no effect. Records of earlier versions name the last
    request only, and not whether it was answered.
    """
    ordered = [record["ordered"]] if record["ordered"] else []
    members = tuple(record.get("outstanding", ordered))
    if primary in members:
        return members[members.index(primary) + 1 :]
    return members


def may_be_promoted_again(record: PromotionLockRecord, primary: str) -> bool:
    """Whether a late request would make a primary that was demoted the primary again.

    Such a request has no effect while the member is the primary.
    """
    return primary in record.get("outstanding", [record["ordered"]])


def last_request(record: PromotionLockRecord) -> str:
    """Return the member whose promotion was requested last, empty if none may happen.

    The record is one whose holder has removed the requests that have no effect.
    """
    return next(reversed(record.get("outstanding", [record["ordered"]])), "")


def record_outstanding(
    record: PromotionLockRecord, members: Sequence[str]
) -> PromotionLockRecord:
    """Return the record with other outstanding requests."""
    changed = record.copy()
    changed["outstanding"] = list(members)
    return changed


def replicas_to_resume(
    paused: tuple[MemberListing, ...],
    replicas: tuple[MemberListing, ...],
    outstanding: Sequence[str],
) -> tuple[MemberListing, ...]:
    """Return the replicas to resume after an attempt without a promotion.

    While a request may be executed late, a commit may be acknowledged only if the
    requested member has it, so the others stay paused. With requests for several
    members all do, until a promotion ends the pauses.
    """
    if not outstanding:
        return paused
    return tuple(replica for replica in replicas if {replica.id} == set(outstanding))
