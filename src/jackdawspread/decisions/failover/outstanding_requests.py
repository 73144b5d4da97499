"""Promotion requests that may still be executed.

A request without an answer may be executed late, until the platform has received a
request with a higher fencing token. It is outstanding until this is proven: by a
definite refusal, or by an accepted request with a higher token. No time ends it, as the
platform names none.
"""

from collections.abc import Sequence

from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.member_listing import MemberListing


def outstanding_requests(record: PromotionLockRecord) -> tuple[str, ...]:
    """Return the members whose promotion may still happen, in order of the requests.

    Records of earlier versions name the last request only, and not whether it was
    answered.
    """
    ordered = [record["ordered"]] if record["ordered"] else []
    return tuple(record.get("outstanding", ordered))


def last_request(record: PromotionLockRecord) -> str:
    """Return the member whose promotion was requested last, empty if none may be."""
    return next(reversed(outstanding_requests(record)), "")


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

    ``outstanding`` does not name the present primary, which has every commit that it
    acknowledges. While a request may be executed late, a commit may be acknowledged
    only if the requested member has it, so the others stay paused. With requests for
    several members all do, until the requests are withdrawn or a promotion ends the
    pauses.
    """
    if not outstanding:
        return paused
    return tuple(replica for replica in replicas if {replica.id} == set(outstanding))
