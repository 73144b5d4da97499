"""Fake environment of one attempt to replace a primary."""

from features.fakes.memory_records import MemoryRecords
from trio import Nursery, open_memory_channel, open_nursery

from jackdawspread.decisions.failover.held_promotion_lock import HeldPromotionLock
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.promotion_result import PromotionResult
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.pause_replication import PauseReplication
from jackdawspread.messages.statements.resume_replication import ResumeReplication
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.acknowledgement_fences import AcknowledgementFences
from jackdawspread.tasks.fleet.failover_attempt import FailoverAttempt
from jackdawspread.tasks.fleet.promotion_lock_client import PromotionLockClient

LISTINGS = {
    id: MemberListing(id, "g", f"10.0.0.{id[1:]}:1", "z1", 2, False, id == "m0")
    for id in ("m0", "m1", "m2")
}


class FailoverWorld:
    """Fake members, promotion lock and promotion calls of one failover attempt.

    Parameters
    ----------
    unreachable : set of str
        Members that do not answer.
    answers : list of str
        Results of the promotion requests, in their order.
    """

    def __init__(self, unreachable: set[str], answers: list[str]) -> None:
        self.unreachable = unreachable
        self.earlier_request = ""
        # Seconds for which the promotion lock is held.
        self.held_s = 60.0
        self.answers = [PromotionResult(answer) for answer in answers]
        self.paused: dict[str, int] = {}
        # Member that an earlier request promotes just after the replicas were paused.
        self.late_promotion = ""
        # Replica that is listed only after the other replicas were paused.
        self.joining_replica = ""
        self.chosen = ""
        # Member whose promotion was accepted and took effect.
        self.promoted = ""
        self.request_count = 0
        self.is_acquired = False
        self.is_released = False
        self.outcome = ""

    async def run(self, locks: PromotionLockClient | None = None) -> None:
        """Run the attempt, with a client of promotion locks in place of the fake."""
        promotions, inbox = open_memory_channel(1)
        router, _ = open_memory_channel(100)
        announcements, _ = open_memory_channel(100)
        fences = AcknowledgementFences(locks or self, MemoryRecords(), announcements)
        attempt = FailoverAttempt(
            "i1", self, locks or self, promotions, router, self, fences
        )
        trigger = FailoverTrigger("g", "m0", False, False, "unreachable")
        async with open_nursery() as nursery:
            nursery.start_soon(self._answer_promotions, inbox)
            self.outcome = await attempt.run(trigger, LISTINGS, self._members_since)
            self._end(nursery)

    async def send(self, listing: MemberListing, command: object) -> LogStatus | None:
        """Answer one command to a member."""
        if listing.id in self.unreachable:
            return None
        if isinstance(command, PauseReplication):
            self.paused[listing.id] = command.term
        if isinstance(command, ResumeReplication):
            self.paused.pop(listing.id, None)
        paused_term = self.paused.get(listing.id, 0)
        is_promoted = listing.id == self.promoted
        is_late = bool(paused_term) and listing.id == self.late_promotion
        term = 4 if is_promoted else 3
        end = Position(3, 7)
        return LogStatus(listing.id, is_promoted or is_late, term, end, paused_term)

    async def demote(self, primary: MemberListing, term: int) -> LogStatus | None:
        """Refuse to demote a primary, as an instance does that can't reach it."""
        return None

    async def send_all(
        self, members: tuple[MemberListing, ...], command: object
    ) -> dict[str, LogStatus]:
        """Answer a command to several members."""
        answers = {member.id: await self.send(member, command) for member in members}
        return {id: status for id, status in answers.items() if status is not None}

    async def resume_all(self, members: tuple[MemberListing, ...]) -> frozenset[str]:
        """Resume replicas; those that do not answer do not get the command."""
        await self.send_all(members, ResumeReplication())
        return frozenset()

    async def acquire(self, group: str) -> HeldPromotionLock:
        """Let the attempt acquire the promotion lock."""
        self.is_acquired = True
        ordered = self.earlier_request
        record = {"token": 1, "holder": "i1", "until": 3.0, "ordered": ordered}
        return HeldPromotionLock(
            "duty-g", 1, 1, record, seconds_since_boot() + self.held_s
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
    ) -> HeldPromotionLock:
        """Record the member that the attempt will promote."""
        self.chosen = member
        return lock

    async def update(self, lock: HeldPromotionLock) -> HeldPromotionLock:
        """Write the record of the lock."""
        return lock

    async def release(
        self, lock: HeldPromotionLock, roster: frozenset[str]
    ) -> HeldPromotionLock:
        """Release the promotion lock."""
        self.is_released = True
        return lock

    async def _members_since(self, since: float) -> MembersSeen:
        listings = dict(LISTINGS)
        if self.joining_replica:
            listing = LISTINGS["m1"]._replace(
                id=self.joining_replica, address="10.0.0.9:1"
            )
            listings[self.joining_replica] = listing
        return MembersSeen(listings, since)

    async def _answer_promotions(self, inbox) -> None:
        async for request in inbox:
            self.request_count += 1
            answer = self.answers.pop(0)
            if answer is PromotionResult.ACCEPTED:
                self.promoted = request.member
            request.reply_to.send_nowait(answer)

    def _end(self, nursery: Nursery) -> None:
        nursery.cancel_scope.cancel()
