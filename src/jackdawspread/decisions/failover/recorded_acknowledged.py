"""Acknowledged positions in the record of a promotion lock.

An instance that has told the holder of the lock what it has acknowledged may be gone
when the next attempt begins. All times are of the store's clock.
"""

from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.acknowledged_positions import AcknowledgedPositions
from jackdawspread.messages.position import Position

# A replica that has confirmed a shown position may be listed late: its entry is written
# late, or the entry has expired and the replica registers again.
SHOWN_WAIT_S = 10.0


def recorded_acknowledged(record: PromotionLockRecord) -> AcknowledgedPositions:
    """Return the acknowledged positions that the record names."""
    return AcknowledgedPositions(
        _position(record.get("acknowledged", [])), _position(record.get("shown", []))
    )


def record_acknowledged(
    record: PromotionLockRecord, acknowledged: AcknowledgedPositions
) -> PromotionLockRecord:
    """Return the record with the acknowledged positions that are known."""
    changed = record.copy()
    if acknowledged.shown != recorded_acknowledged(record).shown:
        # Another position is waited for from now on.
        changed.pop("shown_since", None)
    if acknowledged.certain is not None:
        changed["acknowledged"] = list(acknowledged.certain)
    if acknowledged.shown is not None:
        changed["shown"] = list(acknowledged.shown)
    return changed


def record_wait(record: PromotionLockRecord, now: float) -> PromotionLockRecord:
    """Return the record of an attempt that waits for the shown position.

    The wait goes on if an attempt before waited for the same position.
    """
    changed = record.copy()
    changed.setdefault("shown_since", now)
    return changed


def has_waited(
    record: PromotionLockRecord, acknowledged: AcknowledgedPositions, now: float
) -> bool:
    """Whether attempts have waited long enough for the shown position.

    ``record`` is that of before the attempt, ``acknowledged`` what is known in it.
    """
    if acknowledged.shown != recorded_acknowledged(record).shown:
        return False
    return now - record.get("shown_since", now) >= SHOWN_WAIT_S


def forget_acknowledged(record: PromotionLockRecord) -> PromotionLockRecord:
    """Return the record after a member with the acknowledged commits took over."""
    changed = record.copy()
    changed.pop("acknowledged", None)
    changed.pop("shown", None)
    changed.pop("shown_since", None)
    return changed


def _position(fields: list[int]) -> Position | None:
    return Position(*fields) if len(fields) == 2 else None
