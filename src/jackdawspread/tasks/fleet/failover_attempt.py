"""One attempt to replace the primary of a group (failover or switchover)."""

from collections.abc import Awaitable, Callable

from absl import logging
from trio import MemorySendChannel, current_time, open_memory_channel, sleep

from jackdawspread.decisions.evacuations.evacuated_members import mark_evacuated
from jackdawspread.decisions.failover.held_promotion_lock import HeldPromotionLock
from jackdawspread.decisions.failover.promotion_candidate import (
    next_term,
    replicas_to_query,
)
from jackdawspread.decisions.failover.queried_replicas import has_queried_all
from jackdawspread.decisions.failover.unpaused_replica import choose_unpaused
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.primary_responded import PrimaryResponded
from jackdawspread.messages.fleet.promotion_request import PromotionRequest
from jackdawspread.messages.fleet.promotion_result import PromotionResult
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.statements.pause_replication import PauseReplication
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.messages.statements.resume_replication import ResumeReplication
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.candidate_search import CandidateSearch
from jackdawspread.tasks.fleet.promotion_lock_client import PromotionLockClient
from jackdawspread.tasks.fleet.replication_control import ReplicationControl

PROMOTION_RETRY_DELAY_S = 0.1
# With synchronous replication an acknowledged commit is on the primary and on at
# least one replica, so one of two replicas that answer has it.
MIN_REPLICAS = 2

ReadMembersSince = Callable[[float], Awaitable[dict[str, MemberListing] | None]]


class FailoverAttempt:
    """Checks a trigger and promotes a replica that has every acknowledged commit.

    Parameters
    ----------
    instance : str
        Name of this instance.
    replication : ReplicationControl
        Sends status queries and replication commands to members.
    locks : PromotionLockClient
        Client of the promotion locks.
    promotions : trio.MemorySendChannel
        Receives promotion requests for the users' platform.
    router : trio.MemorySendChannel
        Inbox of the member router.
    """

    def __init__(
        self,
        instance: str,
        replication: ReplicationControl,
        locks: PromotionLockClient,
        promotions: MemorySendChannel[PromotionRequest],
        router: MemorySendChannel[RouterEvent],
    ) -> None:
        self._instance = instance
        self._replication = replication
        self._search = CandidateSearch(replication)
        self._locks = locks
        self._promotions = promotions
        self._router = router

    async def run(
        self,
        trigger: FailoverTrigger,
        listing_by_id: dict[str, MemberListing],
        members_since: ReadMembersSince,
    ) -> str:
        """Return the outcome of the attempt in a few words.

        ``members_since`` waits for a list of members that was read after a monotonic
        time.
        """
        listing_by_id = mark_evacuated(listing_by_id, trigger.evacuated_domains)
        primary = listing_by_id.get(trigger.member)
        is_suspected = (
            primary is not None
            and not trigger.is_planned
            and not trigger.writes_stalled
        )
        if (
            is_suspected
            and primary is not None
            and await self._primary_responds(primary)
        ):
            return "the primary responds"
        replicas = replicas_to_query(
            listing_by_id.values(), trigger.group, trigger.member
        )
        if len(replicas) < MIN_REPLICAS:
            return "too few replicas in the list of members"
        lock = await self._locks.acquire(trigger.group)
        if isinstance(lock, str):
            return lock
        outcome, may_have_promoted = await self._fail_over(
            trigger, replicas, lock, members_since
        )
        if not may_have_promoted:
            await self._locks.release(lock)
        return outcome

    async def _primary_responds(self, primary: MemberListing) -> bool:
        """Query a suspected primary; return whether it responds."""
        if await self._replication.send(primary, QueryStatus()) is None:
            return False
        await self._router.send(PrimaryResponded(primary.group, primary.id))
        return True

    async def _fail_over(
        self,
        trigger: FailoverTrigger,
        replicas: tuple[MemberListing, ...],
        lock: HeldPromotionLock,
        members_since: ReadMembersSince,
    ) -> tuple[str, bool]:
        """Return the outcome, and whether a promotion has or may have happened.

        In that case the lock is not released but expires: until the new primary takes
        over, the members report the same state as before, and another attempt could
        choose another candidate.
        """
        status_by_member = await self._replication.send_all(replicas, QueryStatus())
        if len(status_by_member) < len(replicas):
            return "a replica did not answer", False
        if any(status.claims_primary for status in status_by_member.values()):
            return "another member claims to be the primary", False
        previously_requested = lock.record["ordered"]
        unpaused = (
            choose_unpaused(replicas, status_by_member, previously_requested)
            if trigger.is_planned
            else ""
        )
        to_pause = tuple(replica for replica in replicas if replica.id != unpaused)
        pause = PauseReplication(next_term(status_by_member.values()))
        paused = await self._replication.send_all(to_pause, pause)
        paused_at = current_time()
        candidate = ""
        if len(paused) == len(to_pause):
            candidate = await self._search.choose(
                replicas, unpaused, pause.term, previously_requested
            )
        if candidate and not has_queried_all(
            trigger, replicas, await members_since(paused_at)
        ):
            candidate = ""
        recorded_lock = (
            await self._locks.record_promotion(lock, candidate) if candidate else None
        )
        if recorded_lock is None:
            await self._resume(to_pause, lock)
            return "no replica is known to have every commit", False
        return await self._promote(trigger, candidate, to_pause, recorded_lock)

    async def _promote(
        self,
        trigger: FailoverTrigger,
        candidate: str,
        paused: tuple[MemberListing, ...],
        lock: HeldPromotionLock,
    ) -> tuple[str, bool]:
        """Request the promotion until it has a definite result or the lock expires.

        An unanswered request may still take effect, so the replicas that were paused
        for its safety then stay paused.
        """
        logging.info(
            "succession: promoting member=%s group=%s token=%d reason=%s",
            candidate,
            trigger.group,
            lock.record["token"],
            trigger.reason,
        )
        result = PromotionResult.NOT_DONE
        uncertain = False
        while seconds_since_boot() < lock.held_until:
            send, receive = open_memory_channel[PromotionResult](1)
            await self._promotions.send(
                PromotionRequest(
                    trigger.group, candidate, self._instance, lock.record["token"], send
                )
            )
            result = await receive.receive()
            uncertain = uncertain or result is PromotionResult.UNKNOWN
            if result in (PromotionResult.ACCEPTED, PromotionResult.REJECTED):
                break
            await sleep(PROMOTION_RETRY_DELAY_S)
        may_have_promoted = result is PromotionResult.ACCEPTED or uncertain
        if not may_have_promoted:
            await self._resume(paused, lock)
        return f"promotion {result.value} member={candidate}", may_have_promoted

    async def _resume(
        self, paused: tuple[MemberListing, ...], lock: HeldPromotionLock
    ) -> None:
        """Resume paused replicas while the lock is held.

        After its expiry another instance may rely on the pause.
        """
        if seconds_since_boot() < lock.held_until:
            await self._replication.send_all(paused, ResumeReplication())
        else:
            logging.warning(
                "succession: replicas left paused, lock expired name=%s",
                lock.name,
            )
