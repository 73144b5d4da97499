"""Promotion requests that may still be executed.

A request without an answer may be executed late, until the platform has received a
request with a higher fencing token. A request counts as outstanding for a bounded time:
the member that it names may be gone for good, and while only this one may be resumed no
write is confirmed. All times are of the store's clock, and the record is one that its
holder has acquired.
"""

from collections.abc import Sequence

from jackdawspread.decisions.failover.promotion_lock import acquired_at
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.member_listing import MemberListing

# Time after which a request without an answer is no longer executed.
OUTSTANDING_REQUEST_S = 30.0


def outstanding_requests(record: PromotionLockRecord, primary: str) -> tuple[str, ...]:
    """Return the members whose promotion may still happen, in order of the requests.

    ``primary`` is a member that is certainly the primary, empty if none is known to be:
    the request that made it the primary raised the token above that of all earlier
    ones, and repeating it has no effect. Records of earlier versions name the last
    request only, and not whether it was answered.
    """
    members = _unexpired_requests(record)
    if primary in members:
        return members[members.index(primary) + 1 :]
    return members


def may_be_promoted_again(record: PromotionLockRecord, primary: str) -> bool:
    """Whether a late request would make a primary that was demoted the primary again.

    Such a request has no effect while the member is the primary.
    """
    return primary in _unexpired_requests(record)


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


def record_refusal(
    record: PromotionLockRecord,
    acquired: PromotionLockRecord,
    outstanding: Sequence[str],
) -> PromotionLockRecord:
    """Return the record after the holder's own request was definitely refused.

    ``acquired`` is the record before that request, whose time of the earlier requests
    is kept.
    """
    refused = record_outstanding(record, outstanding)
    refused["requested_at"] = acquired.get("requested_at", acquired_at(acquired))
    return refused


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


def _unexpired_requests(record: PromotionLockRecord) -> tuple[str, ...]:
    now = acquired_at(record)
    if now - record.get("requested_at", now) >= OUTSTANDING_REQUEST_S:
        return ()
    ordered = [record["ordered"]] if record["ordered"] else []
    return tuple(record.get("outstanding", ordered))
