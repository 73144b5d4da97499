"""Fakes around one attempt to replace a primary."""

from trio import Nursery, open_memory_channel, open_nursery

from jackdawspread.decisions.failover.held_promotion_lock import HeldPromotionLock
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.promotion_result import PromotionResult
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.pause_replication import PauseReplication
from jackdawspread.messages.statements.resume_replication import ResumeReplication
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.failover_attempt import FailoverAttempt

LISTINGS = {
    id: MemberListing(id, "g", "10.0.0.1:1", "z1", 2, False, id == "m0")
    for id in ("m0", "m1", "m2")
}


class SuccessionWorld:
    """Members, duty and platform as one attempt sees them.

    Parameters
    ----------
    silent : set of str
        Members that do not answer.
    answers : list of str
        Results of the orders to promote, in their order.
    """

    def __init__(self, silent: set[str], answers: list[str]) -> None:
        self.silent = silent
        self.former_order = ""
        self.answers = [PromotionResult(answer) for answer in answers]
        self.paused: dict[str, int] = {}
        # Member whose promotion is carried out late, just after the pauses.
        self.late = ""
        # Replica that the list names only after the pauses.
        self.joined = ""
        self.chosen = ""
        self.ordered = 0
        self.is_taken = False
        self.is_released = False
        self.outcome = ""

    async def run(self) -> None:
        """Run the attempt."""
        promotions, inbox = open_memory_channel(1)
        router, _ = open_memory_channel(100)
        attempt = FailoverAttempt("i1", self, self, promotions, router)
        trigger = FailoverTrigger("g", "m0", False, False, "unreachable")
        async with open_nursery() as nursery:
            nursery.start_soon(self._answer_orders, inbox)
            self.outcome = await attempt.run(trigger, LISTINGS, self._members_since)
            self._end(nursery)

    async def send(self, listing: MemberListing, order: object) -> LogStatus | None:
        """Answer one order to a member."""
        if listing.id in self.silent:
            return None
        if isinstance(order, PauseReplication):
            self.paused[listing.id] = order.term
        if isinstance(order, ResumeReplication):
            self.paused.pop(listing.id, None)
        held = self.paused.get(listing.id, 0)
        claims_primary = bool(held) and listing.id == self.late
        return LogStatus(listing.id, claims_primary, 3, Position(3, 7), held)

    async def send_all(
        self, members: tuple[MemberListing, ...], order: object
    ) -> dict[str, LogStatus]:
        """Answer an order to several members."""
        answers = {member.id: await self.send(member, order) for member in members}
        return {id: status for id, status in answers.items() if status is not None}

    async def acquire(self, group: str) -> HeldPromotionLock:
        """Give the duty to the attempt."""
        self.is_taken = True
        ordered = self.former_order
        record = {"token": 1, "holder": "i1", "until": 3.0, "ordered": ordered}
        return HeldPromotionLock("duty-g", 1, record, seconds_since_boot() + 60)

    async def record_promotion(
        self, lock: HeldPromotionLock, member: str
    ) -> HeldPromotionLock:
        """Record whom the attempt will promote."""
        self.chosen = member
        return lock

    async def release(self, lock: HeldPromotionLock) -> None:
        """Take the duty back."""
        self.is_released = True

    async def _members_since(self, since: float) -> dict[str, MemberListing]:
        listings = dict(LISTINGS)
        if self.joined:
            joined = LISTINGS["m1"]._replace(id=self.joined)
            listings[self.joined] = joined
        return listings

    async def _answer_orders(self, inbox) -> None:
        async for order in inbox:
            self.ordered += 1
            order.reply_to.send_nowait(self.answers.pop(0))

    def _end(self, nursery: Nursery) -> None:
        nursery.cancel_scope.cancel()
