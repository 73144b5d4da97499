"""Client of the promotion locks in the platform's store."""

from absl import logging
from msgspec.json import encode
from trio import sleep

from jackdawspread.decisions.failover.blocked_promotion import record_blocked
from jackdawspread.decisions.failover.held_promotion_lock import HeldPromotionLock
from jackdawspread.decisions.failover.promotion_lock import (
    PROMOTION_LOCK_TTL_S,
    acquire_promotion_lock,
    record_ordered_member,
    release_promotion_lock,
)
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.messages.position import Position
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.decode_promotion_lock import decode_promotion_lock
from jackdawspread.tasks.fleet.record_client import RecordClient

# Time before the expiry of the lock that is reserved for resuming paused members.
RESUME_RESERVE_S = 1.0
REFUSED_RETRY_DELAY_S = 0.1


def promotion_lock_name(group: str) -> str:
    """Return the name of the record that holds the promotion lock of a group."""
    return f"duty-{group}"


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
        name = promotion_lock_name(group)
        epoch = await self._records.epoch()
        read_at = seconds_since_boot()
        known = await self._records.read(name)
        if epoch is None or known.status is not RecordStatus.DONE:
            return "the store did not answer"
        if known.epoch != epoch.number:
            return "the store has just been restored from a copy"
        current = decode_promotion_lock(known)
        if current is None:
            return "the promotion lock is unreadable"
        record = acquire_promotion_lock(
            current, self._instance, known.store_time_s, epoch
        )
        if record is None:
            holder = current["holder"] or "a holder from before the store was restored"
            return f"the promotion lock is held by {holder}"
        held_until = read_at + PROMOTION_LOCK_TTL_S
        lock = HeldPromotionLock(name, known.version, epoch.number, record, held_until)
        outcome = await self._write(lock, record, held_until)
        if outcome.status is not RecordStatus.DONE:
            return f"the promotion lock was not written: {outcome.status.value}"
        return lock._replace(version=outcome.version)

    async def extend(
        self, lock: HeldPromotionLock, record: PromotionLockRecord
    ) -> HeldPromotionLock | None:
        """Write a record that extends the lock; None if that fails.

        Without an answer the extension may be stored, but this instance does not use
        it.
        """
        deadline = lock.held_until - RESUME_RESERVE_S
        outcome = await self._write(lock, record, deadline)
        if outcome.status is not RecordStatus.DONE:
            return None
        extension_s = record["until"] - lock.record["until"]
        return lock._replace(
            version=outcome.version,
            record=record,
            held_until=lock.held_until + extension_s,
        )

    async def record_promotion(
        self,
        lock: HeldPromotionLock,
        member: str,
        term: int,
        roster: frozenset[str],
        outstanding: tuple[str, ...] = (),
        log_end: Position | None = None,
        extension_s: float = 0.0,
    ) -> HeldPromotionLock | None:
        """Record the member that the holder will promote; None if that fails.

        ``term`` is the term under which replicas were paused, and ``roster`` names the
        members that may hold an acknowledged commit. ``outstanding`` are the members
        of earlier requests that may still be executed, and ``log_end`` is the end of
        the member's log when logs were compared. The lock is extended by
        ``extension_s``.
        """
        record = record_ordered_member(
            lock.record, member, term, roster, outstanding, log_end
        )
        record["until"] += extension_s
        deadline = lock.held_until - RESUME_RESERVE_S
        outcome = await self._write(lock, record, deadline)
        if outcome.status is not RecordStatus.DONE:
            return None
        return lock._replace(
            version=outcome.version,
            record=record,
            held_until=lock.held_until + extension_s,
        )

    async def update(self, lock: HeldPromotionLock) -> HeldPromotionLock | None:
        """Write the record of a lock that stays held; None if that fails."""
        outcome = await self._write_end(lock, lock.record)
        if outcome.status is not RecordStatus.DONE:
            logging.info("succession: record not updated name=%s", lock.name)
            return None
        return lock._replace(version=outcome.version)

    async def release(
        self, lock: HeldPromotionLock, roster: frozenset[str]
    ) -> HeldPromotionLock | None:
        """Release the lock, so that other instances need not wait until it expires.

        Return the lock as it was written, None if that fails.

        ``roster`` is that of an attempt that ended because logs were missing; it is
        empty otherwise.
        """
        record = record_blocked(lock.record, roster) if roster else lock.record
        record = release_promotion_lock(record)
        outcome = await self._write_end(lock, record)
        if outcome.status is not RecordStatus.DONE:
            logging.info("succession: promotion lock not released name=%s", lock.name)
            return None
        return lock._replace(version=outcome.version, record=record)

    async def _write_end(
        self, lock: HeldPromotionLock, record: PromotionLockRecord
    ) -> RecordOutcome:
        """Write the record after an attempt; repeat it while the store refuses.

        Until it is written, or the lock expires, the group may be suspended.
        """
        while True:
            outcome = await self._write(lock, record, lock.held_until)
            retry_at = seconds_since_boot() + REFUSED_RETRY_DELAY_S
            if (
                outcome.status is not RecordStatus.REFUSED
                or retry_at >= lock.held_until
            ):
                return outcome
            await sleep(REFUSED_RETRY_DELAY_S)

    async def _write(
        self, lock: HeldPromotionLock, record: PromotionLockRecord, deadline: float
    ) -> RecordOutcome:
        """Write a record over that of a lock, and retry if the outcome is unknown.

        An unanswered write may still take effect later. Retrying the same write over
        the same version is safe, since the store executes only the first of the two.
        """
        while True:
            outcome = await self._records.write(
                lock.name, lock.version, encode(record), lock.epoch
            )
            if outcome.status in (RecordStatus.DONE, RecordStatus.REFUSED):
                return outcome
            if outcome.status is RecordStatus.UNKNOWN:
                outcome = await self._records.read(lock.name)
            if outcome.status is not RecordStatus.UNKNOWN:
                if outcome.epoch != lock.epoch:
                    return outcome._replace(status=RecordStatus.CONFLICT)
                if decode_promotion_lock(outcome) == record:
                    return outcome._replace(status=RecordStatus.DONE)
                if outcome.version != lock.version:
                    return outcome._replace(status=RecordStatus.CONFLICT)
            if seconds_since_boot() >= deadline:
                return RecordOutcome(RecordStatus.UNKNOWN)
