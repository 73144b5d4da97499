"""Changes of a promotion lock's record that fence acknowledgements.

Each extends the lock by the time for which the permits of instances that do not confirm
an announcement have to be waited for.
"""

from collections.abc import Collection

from jackdawspread.decisions.acknowledgement.permit import PERMIT_S
from jackdawspread.decisions.failover.promotion_lock import record_ordered_member
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord


def suspend_acknowledgements(record: PromotionLockRecord) -> PromotionLockRecord:
    """Return the record of a holder that is about to compare logs."""
    suspended = record.copy()
    suspended["suspended"] = True
    suspended["fenced_token"] = record["token"]
    return _extend(suspended)


def require_member(
    record: PromotionLockRecord,
    member: str,
    term: int,
    roster: Collection[str],
    outstanding: tuple[str, ...],
) -> PromotionLockRecord:
    """Return the record after which commits are acknowledged once a member has them.

    ``outstanding`` are the members of earlier requests that may still be executed.
    """
    return _extend(record_ordered_member(record, member, term, roster, outstanding))


def take_back_extension(
    record: PromotionLockRecord, unused_s: float
) -> PromotionLockRecord:
    """Return the record of a lock that expires earlier, by the time not waited."""
    shortened = record.copy()
    shortened["until"] = record["until"] - unused_s
    return shortened


def end_suspension(record: PromotionLockRecord) -> PromotionLockRecord:
    """Return the record of a holder that compares no logs any more."""
    ended = record.copy()
    ended.pop("suspended", None)
    return ended


def _extend(record: PromotionLockRecord) -> PromotionLockRecord:
    extended = record.copy()
    extended["until"] = record["until"] + PERMIT_S
    return extended
