"""Time for which promotions in a group have lacked logs.

The record of the promotion lock holds it, because in a large fleet one instance seldom
acquires the lock twice in a row. All times are of the store's clock.
"""

from collections.abc import Collection

from jackdawspread.decisions.acknowledgement.permit import PERMIT_S
from jackdawspread.decisions.failover.promotion_lock import (
    PROMOTION_LOCK_TTL_S,
    acquired_at,
    record_roster,
)
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord

# Attempts follow each other faster than this while a group has no primary, also those
# that leave the lock to expire, and those that wait until permits have lapsed.
MAX_ATTEMPT_INTERVAL_S = 2 * PROMOTION_LOCK_TTL_S + PERMIT_S


def is_overdue(record: PromotionLockRecord, timeout_s: float) -> bool:
    """Whether the holder of the lock no longer waits for members that are gone.

    ``timeout_s`` is infinite if it waits for ever.
    """
    return acquired_at(record) - _blocked_since(record) >= timeout_s


def record_blocked(
    record: PromotionLockRecord, roster: Collection[str]
) -> PromotionLockRecord:
    """Return the record after an attempt of its holder that lacked logs.

    The roster of the attempt stays recorded, as its members may soon not be listed any
    more.
    """
    blocked = record_roster(record, roster)
    blocked["blocked_since"] = _blocked_since(record)
    blocked["blocked_at"] = acquired_at(record)
    return blocked


def _blocked_since(record: PromotionLockRecord) -> float:
    """Return the time of the first in a row of attempts that includes this one."""
    now = acquired_at(record)
    elapsed_s = now - record.get("blocked_at", now)
    if not 0 <= elapsed_s <= MAX_ATTEMPT_INTERVAL_S:
        return now
    return record.get("blocked_since", now)
