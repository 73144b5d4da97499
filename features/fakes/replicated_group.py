"""Fake group of members with logs, terms and pauses."""

from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager
from math import inf
from unittest import mock

from features.fakes.announced_instances import AnnouncedInstances
from features.fakes.troubled_records import TroubledRecords
from trio import (
    MemoryReceiveChannel,
    current_time,
    open_memory_channel,
    open_nursery,
    sleep,
)

from jackdawspread.decisions.failover.blocked_promotion import record_blocked
from jackdawspread.decisions.failover.held_promotion_lock import HeldPromotionLock
from jackdawspread.decisions.failover.promotion_lock import (
    acquire_promotion_lock,
    record_ordered_member,
    release_promotion_lock,
)
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.promotion_result import PromotionResult
from jackdawspread.messages.fleet.store_epoch import StoreEpoch
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.demote_primary import DemotePrimary
from jackdawspread.messages.statements.pause_replication import PauseReplication
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.messages.statements.resume_replication import ResumeReplication
from jackdawspread.tasks.fleet import (
    acknowledgement_fence,
    failover_attempt,
    promotion_effect,
    promotion_sender,
)
from jackdawspread.tasks.fleet.acknowledgement_fences import AcknowledgementFences
from jackdawspread.tasks.fleet.failover_attempt import FailoverAttempt

PRIMARY = "m0"
BOOT_CLOCK_USERS = (
    acknowledgement_fence,
    failover_attempt,
    promotion_effect,
    promotion_sender,
)
EVACUATED_DOMAIN = "z2"
# Time of the store's clock at which a scenario begins.
STORE_START_S = 1000.0
# An event during a fence, which lasts 4 ms if no announcement is lost.
FENCE_STEP_S = 0.001


def address(id: str) -> str:
    """Return the address of a member, ``m7`` and ``m7b`` having the same one."""
    return f"10.0.0.{id.strip('mb')}:1"


def listing(id: str) -> MemberListing:
    """Return the entry of a member in the list."""
    return MemberListing(id, "g", address(id), "z1", 2, False, id == PRIMARY)


class ReplicatedGroup:
    """Members that answer commands, and the promotion lock of their group.

    Parameters
    ----------
    end_by_member : dict
        End of the log of each member that answers.
    silent : set of str
        Members that are listed and do not answer.
    """

    def __init__(self, end_by_member: dict[str, Position], silent: set[str]) -> None:
        self.end_by_member = end_by_member
        self.listed = end_by_member.keys() | silent
        self.newest_term = max(end.term for end in end_by_member.values())
        self.leaving: set[str] = set()
        # Member that does not get the command to demote it.
        self.undemotable = ""
        # Member that does not answer the command to resume it.
        self.unresumed = ""
        self.record = PromotionLockRecord(token=1, holder="", until=0.0, ordered="")
        # Replica that is listed and receives the primary's log once the first logs
        # have been compared.
        self.joining = ""
        self.former_primary = PRIMARY
        # Members that answer other instances only.
        self.cut_off: set[str] = set()
        # Replica through which the primary confirms a commit after the last list.
        self.late_joiner = ""
        self.acknowledged = Position(0, 0)
        # Member whose failure domain is evacuated.
        self.evacuated = ""
        # Whether no list of members can be read during an attempt.
        self.is_list_late = False
        # Whether each member that lives can have registered.
        self.is_list_whole = True
        self.leaders = {PRIMARY}
        # Terms of members that were promoted.
        self.term_by_leader: dict[str, int] = {}
        # Whether attempts are made because the primary leaves.
        self.is_planned = False
        self.paused: dict[str, int] = {}
        # Members in the order of the pauses that had an effect.
        self.pause_order: list[str] = []
        # Members that have left the list.
        self.departed: tuple[str, ...] = ()
        self.demoted: list[str] = []
        self.promoted: list[str] = []
        self.outcomes: list[str] = []
        self.missing_log_timeout_s = inf
        # Seconds for which the promotion lock is held.
        self.held_s = 60.0
        # Time of the store's clock at which the attempts begin.
        self.store_start_s = STORE_START_S
        # Whether attempts fence acknowledgements, withdraw requests.
        self.is_fenced = False
        self.withdraws_requests = False
        # Registered instances, and the inbox of the task that announces states to them.
        self.instances = TroubledRecords()
        self.announced: AnnouncedInstances | None = None
        self.announcements, self.announcement_inbox = open_memory_channel(100)
        # Seconds until an accepted promotion takes effect, infinite if it never does.
        self.effect_delay_s = 0.0
        # Writes of the record, comparisons of paused logs and calls, in their order.
        self.journal: list[str] = []
        # Time of the first comparison.
        self.compared_at = inf
        # Whether the primary confirms a commit through a replica that was not listed
        # while acknowledgements are being fenced.
        self.commits_during_fence = False
        # Members of earlier requests that are executed during a fence, and after the
        # next call was accepted.
        self.executed_during_fence = ""
        self.executed_after_call = ""
        # Seconds from the acceptance of that call to the execution.
        self.execution_delay_s = 0.0
        # Whether the store refuses to extend the lock.
        self.is_unwritable = False
        # Results of the next promotion requests; further ones are accepted.
        self.answers: list[PromotionResult] = []

    async def attempt(self, writes_stalled: bool, instance: int = 0) -> None:
        """Run one attempt of an instance to replace the primary."""
        promotions, inbox = open_memory_channel(1)
        router, _ = open_memory_channel(100)
        acting = FailoverAttempt(
            f"i{instance}",
            self,
            self,
            promotions,
            router,
            self,
            AcknowledgementFences(self, self.instances, self.announcements),
            self.missing_log_timeout_s,
        )
        reason = "writes not confirmed" if writes_stalled else "unreachable"
        trigger = FailoverTrigger(
            "g",
            self.former_primary,
            self.is_planned,
            writes_stalled,
            reason,
            frozenset({EVACUATED_DOMAIN}),
            self.withdraws_requests,
            self.is_fenced,
        )
        async with open_nursery() as nursery, self._mock_boot_clock():
            self.effects = nursery
            if self.announced is not None:
                self.announced.start(
                    nursery, self.announcement_inbox, self.announcements
                )
            nursery.start_soon(self._promote, inbox)
            self.outcomes.append(
                await acting.run(
                    trigger,
                    self._list(),
                    self._members_since,
                    tuple(map(listing, self.departed)),
                )
            )
            if self.announced is not None:
                await sleep(0.1)  # The last announcement is not awaited.
            nursery.cancel_scope.cancel()

    @asynccontextmanager
    async def _mock_boot_clock(self) -> AsyncIterator[None]:
        """Let the time of locks and permits pass with the clock of the scenario."""
        with ExitStack() as stack:
            for module in BOOT_CLOCK_USERS:
                stack.enter_context(
                    mock.patch.object(module, "seconds_since_boot", current_time)
                )
            yield

    async def send(self, member: MemberListing, command: object) -> LogStatus | None:
        """Answer one command as a member does."""
        if member.id in self.cut_off:
            return None
        return self._execute(member.id, command)

    async def demote(self, primary: MemberListing, term: int) -> LogStatus | None:
        """Demote a primary as another instance does."""
        if primary.id not in self.cut_off:
            return None
        return self._execute(primary.id, DemotePrimary(term))

    def _execute(self, id: str, command: object) -> LogStatus | None:
        if id not in self.end_by_member:
            return None
        if isinstance(command, DemotePrimary) and id == self.undemotable:
            return None
        if isinstance(command, PauseReplication) and command.term > self.newest_term:
            self.paused[id] = command.term
            self.pause_order.append(id)
        if isinstance(command, ResumeReplication):
            self.paused.pop(id, None)
        if isinstance(command, DemotePrimary) and command.term > self.newest_term:
            self.leaders.discard(id)
            self.demoted.append(id)
        if isinstance(command, QueryStatus) and self.paused and not self.promoted:
            self.compared_at = min(self.compared_at, current_time())
            if self.journal[-1:] != ["compare"]:
                self.journal.append("compare")
        end = self.end_by_member[id]
        term = self.term_by_leader.get(id, 1)
        return LogStatus(id, id in self.leaders, term, end, self.paused.get(id, 0))

    async def send_all(
        self, members: tuple[MemberListing, ...], command: object
    ) -> dict[str, LogStatus]:
        """Answer a command to several members."""
        answers = {member.id: await self.send(member, command) for member in members}
        return {id: status for id, status in answers.items() if status is not None}

    async def resume_all(self, members: tuple[MemberListing, ...]) -> frozenset[str]:
        """Resume replicas; return those that may run the command later."""
        unanswered = {m.id for m in members if m.id == self.unresumed}
        answering = tuple(m for m in members if m.id not in unanswered)
        await self.send_all(answering, ResumeReplication())
        return frozenset(unanswered)

    async def acquire(self, group: str) -> HeldPromotionLock:
        """Let the attempt acquire the promotion lock."""
        free = self.record.copy()
        free["holder"] = ""
        now = self.store_start_s + current_time()
        record = acquire_promotion_lock(free, "i", now, StoreEpoch(0, began_s=0.0))
        assert record is not None
        self.record = record
        return HeldPromotionLock("duty-g", 1, 1, record, current_time() + self.held_s)

    async def record_promotion(
        self,
        lock: HeldPromotionLock,
        member: str,
        term: int,
        roster: frozenset[str],
        outstanding: tuple[str, ...] = (),
        log_end: Position | None = None,
        extension_s: float = 0.0,
    ) -> HeldPromotionLock:
        """Accept the record of the chosen member."""
        recorded = record_ordered_member(
            lock.record, member, term, roster, outstanding, log_end
        )
        return self._write(lock, recorded)

    async def extend(
        self, lock: HeldPromotionLock, record: PromotionLockRecord
    ) -> HeldPromotionLock | None:
        """Write a record that extends the lock."""
        if self.is_unwritable:
            return None
        if self.commits_during_fence:
            self.effects.start_soon(self._commit)
        if self.executed_during_fence:
            self.effects.start_soon(
                self._take_effect, self.executed_during_fence, FENCE_STEP_S
            )
        extension_s = record["until"] - lock.record["until"]
        written = self._write(lock, record)
        return written._replace(held_until=lock.held_until + extension_s)

    async def update(self, lock: HeldPromotionLock) -> HeldPromotionLock:
        """Write the record of the lock."""
        return self._write(lock, lock.record)

    async def release(
        self, lock: HeldPromotionLock, roster: frozenset[str]
    ) -> HeldPromotionLock:
        """Release the promotion lock after an attempt."""
        record = record_blocked(lock.record, roster) if roster else lock.record
        return self._write(lock, release_promotion_lock(record))

    def _write(
        self, lock: HeldPromotionLock, record: PromotionLockRecord
    ) -> HeldPromotionLock:
        self.record = record
        outstanding = ",".join(record.get("outstanding", ())) or "none"
        suspended = "suspended" if record.get("suspended") else "open"
        self.journal.append(f"write {suspended} {outstanding}")
        return lock._replace(version=lock.version + 1, record=record)

    async def _members_since(self, since: float) -> MembersSeen | None:
        if self.is_list_late:
            return None
        return MembersSeen(self._list(), since, self.is_list_whole)

    def _list(self) -> dict[str, MemberListing]:
        listed = {
            id: listing(id)._replace(leaving=id in self.leaving)
            for id in sorted(self.listed)
        }
        if self.joining and self.paused:
            listed[self.joining] = listing(self.joining)
            self.end_by_member[self.joining] = self.end_by_member[PRIMARY]
        if self.evacuated:
            entry = listed[self.evacuated]
            listed[self.evacuated] = entry._replace(failure_domain=EVACUATED_DOMAIN)
        return listed

    async def _promote(self, inbox: MemoryReceiveChannel) -> None:
        async for request in inbox:
            if self.late_joiner and PRIMARY in self.leaders:
                end = self.end_by_member[PRIMARY]
                self.acknowledged = end._replace(sequence=end.sequence + 1)
                self.end_by_member[PRIMARY] = self.acknowledged
                self.end_by_member[self.late_joiner] = self.acknowledged
            self.promoted.append(request.member)
            self.journal.append(f"call {request.member}")
            answer = self.answers.pop(0) if self.answers else PromotionResult.ACCEPTED
            if answer is PromotionResult.UNKNOWN:
                await sleep(request.timeout_s)
            if answer is PromotionResult.ACCEPTED:
                self.effects.start_soon(
                    self._take_effect, request.member, self.effect_delay_s
                )
                if self.executed_after_call:
                    self.effects.start_soon(
                        self._take_effect,
                        self.executed_after_call,
                        self.execution_delay_s,
                    )
            request.reply_to.send_nowait(answer)

    async def _commit(self) -> None:
        """Acknowledge a commit that the receiving replicas have a little later."""
        await sleep(FENCE_STEP_S)
        end = self.end_by_member[PRIMARY]
        self.acknowledged = end._replace(sequence=end.sequence + 1)
        self.end_by_member[PRIMARY] = self.acknowledged
        await sleep(0.1)
        for id in self.end_by_member.keys() - self.paused.keys():
            self.end_by_member[id] = self.acknowledged

    async def _take_effect(self, member: str, delay_s: float) -> None:
        """Make a member the primary, unless it is already."""
        await sleep(delay_s)
        if member in self.leaders:
            return
        self.leaders = {member}
        self.term_by_leader[member] = 2 + len(self.term_by_leader)
