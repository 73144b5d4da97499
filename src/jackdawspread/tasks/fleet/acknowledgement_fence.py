"""Fence of acknowledgements for one attempt to promote a member."""

from math import inf

from absl import logging
from trio import (
    MemorySendChannel,
    WouldBlock,
    current_time,
    move_on_after,
    move_on_at,
    open_memory_channel,
    sleep,
)

from jackdawspread.decisions.acknowledgement.permit import PERMIT_S
from jackdawspread.decisions.acknowledgement.promotion_state_of import promotion_state
from jackdawspread.decisions.failover.acknowledgement_suspension import (
    require_member,
    suspend_acknowledgements,
    take_back_extension,
)
from jackdawspread.decisions.failover.held_promotion_lock import HeldPromotionLock
from jackdawspread.decisions.failover.outstanding_requests import outstanding_requests
from jackdawspread.decisions.failover.promotion_lock import acquired_at
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.decisions.failover.recorded_acknowledged import recorded_acknowledged
from jackdawspread.messages.fleet.acknowledged_positions import (
    NOTHING_ACKNOWLEDGED,
    AcknowledgedPositions,
    merge_acknowledged,
)
from jackdawspread.messages.fleet.announce_promotion import AnnouncePromotion
from jackdawspread.messages.fleet.announcement_event import AnnouncementEvent
from jackdawspread.messages.fleet.announcement_result import AnnouncementResult
from jackdawspread.messages.fleet.promotion_state import PromotionState
from jackdawspread.messages.fleet.stored_record import StoredRecord
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.decode_instance_entry import (
    INSTANCE_PREFIX,
    decode_instance_entry,
)
from jackdawspread.tasks.fleet.position_reports import read_reports
from jackdawspread.tasks.fleet.promotion_lock_client import PromotionLockClient
from jackdawspread.tasks.fleet.promotion_log import describe_acknowledged
from jackdawspread.tasks.fleet.record_client import RecordClient

# Why an attempt ends if its fence is not complete.
NOT_FENCED = "acknowledgements were not fenced"
# The lock is not extended for the read of the reports.
REPORTS_TIMEOUT_S = 0.5


class AcknowledgementFence:
    """Owns the promotion lock of an attempt while it fences acknowledgements.

    Parameters
    ----------
    group : str
        Member group.
    lock : HeldPromotionLock
        Promotion lock as it was acquired.
    is_enabled : bool
        Whether acknowledgements in the group depend on its promotion state. If not,
        nothing is written and each fence is complete at once.
    locks : PromotionLockClient
        Client of the promotion locks.
    records : RecordClient
        Access to the list of instances and to their reports in the store.
    announcements : trio.MemorySendChannel
        Inbox of the announcement task.
    """

    def __init__(
        self,
        group: str,
        lock: HeldPromotionLock,
        is_enabled: bool,
        locks: PromotionLockClient,
        records: RecordClient,
        announcements: MemorySendChannel[AnnouncementEvent],
    ) -> None:
        self._group = group
        self._lock = lock
        self._is_enabled = is_enabled
        self._locks = locks
        self._records = records
        self._announcements = announcements
        self._has_written = False
        self._keeps_extension = False
        self._address_by_instance: dict[str, str] = {}
        self._instance_count = 0
        # None until it is known which instances have not confirmed.
        self._missing: frozenset[str] | None = None
        self._acquired_at = acquired_at(lock.record)
        self._acknowledged = NOTHING_ACKNOWLEDGED
        if is_enabled:
            self._acknowledged = recorded_acknowledged(lock.record)

    @property
    def lock(self) -> HeldPromotionLock:
        """The lock of the attempt, without the part of its extension not waited for."""
        return self._lock

    @property
    def acquired_at(self) -> float:
        """Time of the store's clock in seconds at which the lock was acquired."""
        return self._acquired_at

    @property
    def acknowledged(self) -> AcknowledgedPositions:
        """What instances say they had acknowledged before they followed a state."""
        return self._acknowledged

    @property
    def has_written(self) -> bool:
        """Whether instances have to learn how the attempt ends."""
        return self._has_written

    async def suspend(self) -> bool:
        """Have no commit acknowledged until the attempt ends.

        Return whether no instance acknowledges by an earlier state any more.
        """
        return await self._run(suspend_acknowledgements(self._lock.record))

    async def require(
        self,
        member: str,
        term: int,
        roster: frozenset[str],
        keeps_extension: bool = False,
    ) -> bool:
        """Have commits acknowledged only once a member has them.

        ``keeps_extension`` leaves the extension of the lock in use after the fence.
        Return whether no instance acknowledges by an earlier state any more.
        """
        self._keeps_extension = keeps_extension
        record = self._lock.record
        outstanding = outstanding_requests(record)
        return await self._run(
            require_member(record, member, term, roster, outstanding)
        )

    def announce(self, written: HeldPromotionLock | None) -> None:
        """Announce a written state once, if the attempt has fenced acknowledgements."""
        if written is not None and self._has_written:
            self._send(AnnouncePromotion(self._state(written), {}, inf, None))

    async def _run(self, record: PromotionLockRecord) -> bool:
        if not self._is_enabled:
            return True
        written = await self._locks.extend(self._lock, record)
        if written is None:
            return False
        self._lock = written
        self._has_written = True
        started_at = seconds_since_boot()
        deadline = started_at + PERMIT_S
        await self._wait(deadline)
        ended_at = seconds_since_boot()
        if not self._keeps_extension:
            self._take_back(max(deadline - ended_at, 0.0))
        self._log(1000 * (ended_at - started_at))
        return ended_at < self._lock.held_until

    async def _wait(self, deadline: float) -> None:
        """Wait until all instances have confirmed, or until permits have lapsed.

        The list is read after the record was written: an instance that registers later
        gets its first permit from evidence that shows the record.
        """
        expires_at = current_time() + deadline - seconds_since_boot()
        records = None
        with move_on_at(expires_at):
            records = await self._records.list(INSTANCE_PREFIX)
        if records is not None:
            self._missing = await self._announce(records, expires_at)
        if self._missing is None or self._missing:
            while (left := deadline - seconds_since_boot()) > 0:
                await sleep(left)
            await self._read_reports()

    async def _read_reports(self) -> None:
        """Count what instances that were not reached have reported in the store."""
        reports = None
        with move_on_after(REPORTS_TIMEOUT_S):
            reports = await read_reports(self._records, self._group)
        if reports is None:
            logging.warning(
                "succession: reported positions not read group=%s", self._group
            )
            return
        token = self._lock.record["token"]
        reported = [each.acknowledged for each in reports if each.token >= token]
        self._acknowledged = merge_acknowledged((self._acknowledged, *reported))

    async def _announce(
        self, records: list[StoredRecord], expires_at: float
    ) -> frozenset[str]:
        """Announce the state; return the instances that have not confirmed it."""
        unreadable = set()
        for record in records:
            instance = record.name.removeprefix(INSTANCE_PREFIX)
            entry = decode_instance_entry(record)
            if entry is None:
                unreadable.add(instance)
            else:
                self._address_by_instance[instance] = entry.address
        self._instance_count = len(records)
        reply_to, replies = open_memory_channel[AnnouncementResult](1)
        is_sent = self._send(
            AnnouncePromotion(
                self._state(self._lock), self._address_by_instance, expires_at, reply_to
            )
        )
        if not is_sent:
            return frozenset(self._address_by_instance) | unreadable
        result = await replies.receive()
        self._acknowledged = merge_acknowledged(
            (self._acknowledged, result.acknowledged)
        )
        return result.missing | unreadable

    def _state(self, lock: HeldPromotionLock) -> PromotionState:
        store_time_s = lock.record["until"] - lock.held_until + seconds_since_boot()
        return promotion_state(
            self._group, lock.record, lock.version, lock.epoch, store_time_s
        )

    def _send(self, event: AnnouncePromotion) -> bool:
        event = event._replace(address_by_instance=self._address_by_instance)
        try:
            self._announcements.send_nowait(event)
        except WouldBlock:
            logging.warning("succession: state not announced, the inbox is full")
            return False
        return True

    def _take_back(self, unused_s: float) -> None:
        """Give up the part of the extension that was not waited for.

        The next write of the record tells the others.
        """
        self._lock = self._lock._replace(
            record=take_back_extension(self._lock.record, unused_s),
            held_until=self._lock.held_until - unused_s,
        )

    def _log(self, waited_ms: float) -> None:
        missing = "unknown"
        confirmed = 0
        if self._missing is not None:
            missing = ",".join(sorted(self._missing)) or "none"
            confirmed = self._instance_count - len(self._missing)
        logging.info(
            "succession: fence group=%s token=%d instances=%d confirmed=%d "
            "waited_ms=%.0f missing=%s %s",
            self._group,
            self._lock.record["token"],
            self._instance_count,
            confirmed,
            waited_ms,
            missing,
            describe_acknowledged(self._acknowledged),
        )
