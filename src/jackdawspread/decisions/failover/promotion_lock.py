"""Acquires and releases the promotion lock of a group.

The promotion lock is a record in the store, with an expiry time and a fencing token,
that lets one instance at a time promote a member of the group.
"""

from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord

# Other instances can acquire the lock after this time; a promotion takes less than a
# second.
PROMOTION_LOCK_TTL_S = 3.0
FREE_PROMOTION_LOCK = PromotionLockRecord(token=0, holder="", until=0.0, ordered="")


def acquire_promotion_lock(
    record: PromotionLockRecord, instance: str, store_time_s: float
) -> PromotionLockRecord | None:
    """Return the record that acquires the lock, None if another instance holds it."""
    if record["holder"] and record["until"] > store_time_s:
        return None
    return PromotionLockRecord(
        token=record["token"] + 1,
        holder=instance,
        until=store_time_s + PROMOTION_LOCK_TTL_S,
        ordered=record["ordered"],
    )


def record_ordered_member(
    record: PromotionLockRecord, member: str
) -> PromotionLockRecord:
    """Return the record that names the member whose promotion will be requested.

    A promotion request without an answer may be executed later, so the next holder
    has to prefer the same member.
    """
    return PromotionLockRecord(
        token=record["token"],
        holder=record["holder"],
        until=record["until"],
        ordered=member,
    )


def release_promotion_lock(record: PromotionLockRecord) -> PromotionLockRecord:
    """Return the record that releases the lock."""
    return PromotionLockRecord(
        token=record["token"], holder="", until=0.0, ordered=record["ordered"]
    )
