"""Client of the promotion locks in the platform's store."""

from absl import logging
from msgspec import DecodeError, ValidationError
from msgspec.json import decode, encode

from jackdawspread.decisions.failover.held_promotion_lock import HeldPromotionLock
from jackdawspread.decisions.failover.promotion_lock import (
    FREE_PROMOTION_LOCK,
    PROMOTION_LOCK_TTL_S,
    acquire_promotion_lock,
    record_ordered_member,
    release_promotion_lock,
)
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.record_client import RecordClient

# Time before the expiry of the lock that is reserved for resuming paused members.
RESUME_RESERVE_S = 1.0


class PromotionLockClient:
    """Acquires and releases promotion locks by conditional writes.

    A promotion lock gives one instance at a time the right to promote a member of a
    group. It is a record in the store with a fencing token and an expiry.

    Parameters
    ----------
    instance : str
        Name of this instance.
    records : RecordClient
        Access to the store.
    """

    def __init__(self, instance: str, records: RecordClient) -> None:
        self._instance = instance
        self._records = records

    async def acquire(self, group: str) -> HeldPromotionLock | str:
        """Acquire the lock of a group, or return why it can't be acquired now."""
        name = f"duty-{group}"
        known = await self._records.read(name)
        if known.status is not RecordStatus.DONE:
            return "the store did not answer"
        read_at = seconds_since_boot()
        current = _decode(known)
        record = acquire_promotion_lock(current, self._instance, known.store_time_s)
        if record is None:
            return f"the promotion lock is held by {current['holder']}"
        held_until = read_at + PROMOTION_LOCK_TTL_S
        outcome = await self._write(name, known.version, record, held_until)
        if outcome.status is not RecordStatus.DONE:
            return f"the promotion lock was not written: {outcome.status.value}"
        return HeldPromotionLock(name, outcome.version, record, held_until)

    async def record_promotion(
        self, lock: HeldPromotionLock, member: str
    ) -> HeldPromotionLock | None:
        """Record the member that the holder will promote; None if that fails."""
        record = record_ordered_member(lock.record, member)
        deadline = lock.held_until - RESUME_RESERVE_S
        outcome = await self._write(lock.name, lock.version, record, deadline)
        if outcome.status is not RecordStatus.DONE:
            return None
        return lock._replace(version=outcome.version, record=record)

    async def release(self, lock: HeldPromotionLock) -> None:
        """Release the lock, so that other instances need not wait until it expires."""
        record = release_promotion_lock(lock.record)
        outcome = await self._write(lock.name, lock.version, record, lock.held_until)
        if outcome.status is not RecordStatus.DONE:
            logging.info("succession: promotion lock not released name=%s", lock.name)

    async def _write(
        self, name: str, version: int, record: PromotionLockRecord, deadline: float
    ) -> RecordOutcome:
        """Write a record over a known version, and retry if the outcome is unknown.

        An unanswered write may still take effect later. Retrying the same write over
        the same version is safe, since the store executes only the first of the two.
        """
        while True:
            outcome = await self._records.write(name, version, encode(record))
            if outcome.status in (RecordStatus.DONE, RecordStatus.REFUSED):
                return outcome
            if outcome.status is RecordStatus.UNKNOWN:
                outcome = await self._records.read(name)
            if outcome.status is not RecordStatus.UNKNOWN:
                if _decode(outcome) == record:
                    return outcome._replace(status=RecordStatus.DONE)
                if outcome.version != version:
                    return outcome._replace(status=RecordStatus.CONFLICT)
            if seconds_since_boot() >= deadline:
                return RecordOutcome(RecordStatus.UNKNOWN)


def _decode(outcome: RecordOutcome) -> PromotionLockRecord:
    if not outcome.value:
        return FREE_PROMOTION_LOCK
    try:
        return decode(outcome.value, type=PromotionLockRecord)
    except (DecodeError, ValidationError) as error:
        logging.error("succession: unreadable promotion lock reason=%r", error)
        raise
