"""Takes and releases the duty to promote in a group."""

from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord

# Others wait this long for a holder to finish; a promotion takes under a second.
PROMOTION_LOCK_TTL_S = 3.0
FREE_PROMOTION_LOCK = PromotionLockRecord(token=0, holder="", until=0.0, ordered="")


def acquire_promotion_lock(
    record: PromotionLockRecord, instance: str, store_time_s: float
) -> PromotionLockRecord | None:
    """Return the record by which an instance takes the duty, None if it is held."""
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
    """Return the record by which the holder announces whom it will promote.

    An order without an answer may be carried out later, so the next holder has to
    prefer the same member.
    """
    return PromotionLockRecord(
        token=record["token"],
        holder=record["holder"],
        until=record["until"],
        ordered=member,
    )


def release_promotion_lock(record: PromotionLockRecord) -> PromotionLockRecord:
    """Return the record by which the holder gives the duty up."""
    return PromotionLockRecord(
        token=record["token"], holder="", until=0.0, ordered=record["ordered"]
    )
