"""Acknowledged positions in the record of a promotion lock.

An instance that has told the holder of the lock what it has acknowledged may be gone
when the next attempt begins.
"""

from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.acknowledged_positions import AcknowledgedPositions
from jackdawspread.messages.position import Position


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
    if acknowledged.certain is not None:
        changed["acknowledged"] = list(acknowledged.certain)
    if acknowledged.shown is not None:
        changed["shown"] = list(acknowledged.shown)
    return changed


def _position(fields: list[int]) -> Position | None:
    return Position(*fields) if len(fields) == 2 else None
