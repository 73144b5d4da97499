"""Keeps the record of the duty to promote in a group."""

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

# Part of the duty's time that is left to end the pauses of the members.
RESUME_RESERVE_S = 1.0


class PromotionLockClient:
    """Takes and releases duties by conditional writes.

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

    async def take(self, group: str) -> HeldPromotionLock | str:
        """Take the duty of a group, or return why it can't be taken now."""
        name = f"duty-{group}"
        known = await self._records.read(name)
        if known.status is not RecordStatus.DONE:
            return "the store does not answer"
        asked_at = seconds_since_boot()
        present = _decode(known)
        record = acquire_promotion_lock(present, self._instance, known.store_time_s)
        if record is None:
            return f"the duty is held by {present['holder']}"
        held_until = asked_at + PROMOTION_LOCK_TTL_S
        outcome = await self._write(name, known.version, record, held_until)
        if outcome.status is not RecordStatus.DONE:
            return f"the duty was not written: {outcome.status.value}"
        return HeldPromotionLock(name, outcome.version, record, held_until)

    async def announce(
        self, duty: HeldPromotionLock, member: str
    ) -> HeldPromotionLock | None:
        """Record whom the holder will promote; None if that can't be recorded."""
        record = record_ordered_member(duty.record, member)
        give_up_at = duty.held_until - RESUME_RESERVE_S
        outcome = await self._write(duty.name, duty.version, record, give_up_at)
        if outcome.status is not RecordStatus.DONE:
            return None
        return duty._replace(version=outcome.version, record=record)

    async def release(self, duty: HeldPromotionLock) -> None:
        """Give the duty up, so that others need not wait for its end."""
        record = release_promotion_lock(duty.record)
        outcome = await self._write(duty.name, duty.version, record, duty.held_until)
        if outcome.status is not RecordStatus.DONE:
            logging.info("succession: duty not released name=%s", duty.name)

    async def _write(
        self, name: str, version: int, record: PromotionLockRecord, give_up_at: float
    ) -> RecordOutcome:
        """Write a record over a known version, also if answers are lost.

        A write without an answer may take effect later. The same write over the same
        version does no harm then, as only the first of the two is carried out.
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
            if seconds_since_boot() >= give_up_at:
                return RecordOutcome(RecordStatus.UNKNOWN)


def _decode(outcome: RecordOutcome) -> PromotionLockRecord:
    if not outcome.value:
        return FREE_PROMOTION_LOCK
    try:
        return decode(outcome.value, type=PromotionLockRecord)
    except (DecodeError, ValidationError) as error:
        logging.error("succession: unreadable duty reason=%r", error)
        raise
