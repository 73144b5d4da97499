"""One attempt to replace the primary of a group."""

from collections.abc import Awaitable, Callable

from absl import logging
from trio import MemorySendChannel, current_time, open_memory_channel, sleep

from jackdawspread.decisions.failover.held_promotion_lock import HeldPromotionLock
from jackdawspread.decisions.failover.promotion_candidate import (
    most_advanced_log,
    next_term,
    replicas_to_query,
)
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.primary_responded import PrimaryResponded
from jackdawspread.messages.fleet.promotion_request import PromotionRequest
from jackdawspread.messages.fleet.promotion_result import PromotionResult
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.statements.pause_replication import PauseReplication
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.messages.statements.resume_replication import ResumeReplication
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.promotion_lock_client import PromotionLockClient
from jackdawspread.tasks.fleet.replication_control import ReplicationControl

# A replica that stays has this long to receive what a paused one holds.
CATCH_UP_S = 0.8
CATCH_UP_STEP_S = 0.05
PROMOTION_PAUSE_S = 0.1
# An acknowledged commit is on the primary and on one replica at least, so one of
# two replicas that answer holds it.
MIN_REPLICAS = 2

ListSince = Callable[[float], Awaitable[dict[str, MemberListing] | None]]


class FailoverAttempt:
    """Confirms a doubt and promotes the member that holds every commit.

    Parameters
    ----------
    instance : str
        Name of this instance.
    orders : ReplicationControl
        Orders to members.
    duties : PromotionLockClient
        Duties of this instance.
    promotions : trio.MemorySendChannel
        Takes orders to promote for the platform.
    router : trio.MemorySendChannel
        Inbox of the member router.
    """

    def __init__(
        self,
        instance: str,
        orders: ReplicationControl,
        duties: PromotionLockClient,
        promotions: MemorySendChannel[PromotionRequest],
        router: MemorySendChannel[RouterEvent],
    ) -> None:
        self._instance = instance
        self._orders = orders
        self._duties = duties
        self._promotions = promotions
        self._router = router

    async def run(
        self,
        doubt: FailoverTrigger,
        listing_by_id: dict[str, MemberListing],
        list_since: ListSince,
    ) -> str:
        """Return the outcome of the attempt in a few words.

        ``list_since`` waits for a list that was read after a monotonic time.
        """
        primary = listing_by_id.get(doubt.member)
        in_doubt = primary is not None and not doubt.planned and not doubt.stalled
        if in_doubt and primary is not None and await self._answers(primary):
            return "primary answers"
        replicas = replicas_to_query(listing_by_id.values(), doubt.group, doubt.member)
        if len(replicas) < MIN_REPLICAS:
            return "too few replicas listed"
        duty = await self._duties.take(doubt.group)
        if isinstance(duty, str):
            return duty
        outcome, ordered = await self._replace(doubt, replicas, duty, list_since)
        if not ordered:
            await self._duties.release(duty)
        return outcome

    async def _answers(self, primary: MemberListing) -> bool:
        """Ask a primary that has just failed whether it lives."""
        if await self._orders.send(primary, QueryStatus()) is None:
            return False
        await self._router.send(PrimaryResponded(primary.group, primary.id))
        return True

    async def _replace(
        self,
        doubt: FailoverTrigger,
        replicas: tuple[MemberListing, ...],
        duty: HeldPromotionLock,
        list_since: ListSince,
    ) -> tuple[str, bool]:
        """Return the outcome, and whether a promotion was or may have been ordered.

        After an order the duty runs out by itself: until the new primary leads, the
        members still look as before, and another attempt could choose differently.
        """
        before = await self._orders.send_all(replicas, QueryStatus())
        if len(before) < len(replicas):
            return "a replica does not answer", False
        if any(status.claims_primary for status in before.values()):
            return "another member leads", False
        ordered = duty.record["ordered"]
        staying = _staying(replicas, before, ordered) if doubt.planned else ""
        to_pause = tuple(replica for replica in replicas if replica.id != staying)
        order = PauseReplication(next_term(before.values()))
        paused = await self._orders.send_all(to_pause, order)
        paused_at = current_time()
        chosen = ""
        if len(paused) == len(to_pause):
            chosen = await self._choose(replicas, staying, order.term, ordered)
        if chosen and not await _is_complete(doubt, replicas, list_since, paused_at):
            chosen = ""
        announced = await self._duties.announce(duty, chosen) if chosen else None
        if announced is None:
            await self._resume(to_pause, duty)
            return "no replica is known to hold every commit", False
        return await self._promote(doubt, chosen, to_pause, announced)

    async def _choose(
        self,
        replicas: tuple[MemberListing, ...],
        staying: str,
        term: int,
        ordered: str,
    ) -> str:
        """Return the member that holds every acknowledged commit, empty if none.

        The logs are read once more after the last pause: an earlier order to promote
        that is carried out late ends all pauses.
        """
        leaving = {replica.id for replica in replicas if replica.leaving}
        give_up_at = current_time() + CATCH_UP_S
        while current_time() < give_up_at:
            status_by_member = await self._orders.send_all(replicas, QueryStatus())
            stay = status_by_member.pop(staying, None)
            paused = status_by_member.values()
            kept = all(not s.claims_primary and s.paused_term == term for s in paused)
            if len(paused) < len(replicas) - bool(staying) or not kept:
                return ""
            if not staying:
                best = most_advanced_log(paused, leaving, ordered) or most_advanced_log(
                    paused, ()
                )
                return best.member if best is not None else ""
            needed = max(status.received for status in paused)
            if stay is not None and not stay.claims_primary and stay.received >= needed:
                return staying
            await sleep(CATCH_UP_STEP_S)
        return ""

    async def _promote(
        self,
        doubt: FailoverTrigger,
        chosen: str,
        paused: tuple[MemberListing, ...],
        duty: HeldPromotionLock,
    ) -> tuple[str, bool]:
        """Order the promotion until it has a definite result.

        An order without an answer may still be carried out, so nothing that makes
        it safe is undone.
        """
        logging.info(
            "succession: promoting member=%s group=%s token=%d reason=%s",
            chosen,
            doubt.group,
            duty.record["token"],
            doubt.reason,
        )
        result = PromotionResult.NOT_DONE
        uncertain = False
        while seconds_since_boot() < duty.held_until:
            send, receive = open_memory_channel[PromotionResult](1)
            await self._promotions.send(
                PromotionRequest(
                    doubt.group, chosen, self._instance, duty.record["token"], send
                )
            )
            result = await receive.receive()
            uncertain = uncertain or result is PromotionResult.UNKNOWN
            if result in (PromotionResult.ACCEPTED, PromotionResult.REJECTED):
                break
            await sleep(PROMOTION_PAUSE_S)
        ordered = result is PromotionResult.ACCEPTED or uncertain
        if not ordered:
            await self._resume(paused, duty)
        return f"promotion {result.value} member={chosen}", ordered

    async def _resume(
        self, paused: tuple[MemberListing, ...], duty: HeldPromotionLock
    ) -> None:
        """End a pause, unless another instance may rely on it by now."""
        if seconds_since_boot() < duty.held_until:
            await self._orders.send_all(paused, ResumeReplication())
        else:
            logging.warning("succession: pause left in place name=%s", duty.name)


async def _is_complete(
    doubt: FailoverTrigger,
    replicas: tuple[MemberListing, ...],
    list_since: ListSince,
    paused_at: float,
) -> bool:
    """Whether a list read after the pauses names no replica that was not asked.

    A member that has joined meanwhile confirms the primary's commits, which none of
    the paused logs holds.
    """
    listing_by_id = await list_since(paused_at)
    if listing_by_id is None:
        return False
    listed = replicas_to_query(listing_by_id.values(), doubt.group, doubt.member)
    asked = {replica.id for replica in replicas}
    return all(listing.id in asked for listing in listed)


def _staying(
    replicas: tuple[MemberListing, ...],
    status_by_member: dict[str, LogStatus],
    ordered: str,
) -> str:
    """Return the replica that goes on receiving while a living primary is replaced.

    It has time to receive what the others hold, so the member of an earlier order
    goes first whatever its log.
    """
    leaving = {replica.id for replica in replicas if replica.leaving}
    able = [s for s in status_by_member.values() if s.member not in leaving]
    if any(status.member == ordered for status in able):
        return ordered
    best = most_advanced_log(able, ())
    return best.member if best is not None else ""
