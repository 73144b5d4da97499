"""Promotion state that follows from the record of a promotion lock."""

from jackdawspread.decisions.failover.outstanding_requests import outstanding_requests
from jackdawspread.decisions.failover.promotion_lock import is_held
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.promotion_state import PromotionState
from jackdawspread.messages.position import Position


def promotion_state(
    group: str,
    record: PromotionLockRecord,
    version: int,
    epoch: int,
    store_time_s: float,
) -> PromotionState:
    """Return the promotion state of a group.

    The suspension of a holder that has died ends with its lock.
    """
    log_end = record.get("log_end")
    return PromotionState(
        group,
        epoch,
        version,
        record["token"],
        record.get("suspended", False) and is_held(record, store_time_s),
        outstanding_requests(record),
        record["ordered"],
        Position(*log_end) if log_end is not None else None,
        record.get("fenced_token", record["token"]),
    )
