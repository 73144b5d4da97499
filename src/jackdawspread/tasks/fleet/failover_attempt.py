"""One attempt to replace the primary of a group (failover or switchover)."""

from math import inf

from absl import logging
from trio import MemorySendChannel

from jackdawspread.decisions.evacuations.evacuated_members import mark_evacuated
from jackdawspread.decisions.failover.blocked_promotion import record_blocked
from jackdawspread.decisions.failover.held_promotion_lock import HeldPromotionLock
from jackdawspread.decisions.failover.outstanding_requests import (
    may_be_promoted_again,
    outstanding_requests,
    record_outstanding,
    record_refusal,
    replicas_to_resume,
)
from jackdawspread.decisions.failover.promotion_candidate import (
    MIN_LOGS,
    replicas_to_query,
)
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.primary_responded import PrimaryResponded
from jackdawspread.messages.fleet.promotion_plan import PromotionPlan
from jackdawspread.messages.fleet.promotion_request import PromotionRequest
from jackdawspread.messages.fleet.promotion_result import PromotionResult
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.attempt_result import AttemptResult
from jackdawspread.tasks.fleet.failover_selection import FailoverSelection
from jackdawspread.tasks.fleet.peer_demotion_client import PeerDemotionClient
from jackdawspread.tasks.fleet.promotion_lock_client import PromotionLockClient
from jackdawspread.tasks.fleet.promotion_log import log_comparison
from jackdawspread.tasks.fleet.promotion_sender import PromotionSender
from jackdawspread.tasks.fleet.read_members_since import ReadMembersSince
from jackdawspread.tasks.fleet.replication_control import (
    COMMAND_TIMEOUT_S,
    ReplicationControl,
)
from jackdawspread.tasks.fleet.switchover_selection import SwitchoverSelection

# Time that an accepted promotion may need until the members show it.
PROMOTION_EFFECT_S = 1.5


class FailoverAttempt:
    """Checks a trigger and promotes a member that has every acknowledged commit.

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
    peer_demotion : PeerDemotionClient
        Demotes primaries that this instance can't reach through other instances.
    missing_log_timeout_s : float
        Time in seconds after which a member is promoted without the logs of members
        that are gone; infinite if never, as commits may be lost.
    """

    def __init__(
        self,
        instance: str,
        replication: ReplicationControl,
        locks: PromotionLockClient,
        promotions: MemorySendChannel[PromotionRequest],
        router: MemorySendChannel[RouterEvent],
        peer_demotion: PeerDemotionClient,
        missing_log_timeout_s: float = inf,
    ) -> None:
        self._replication = replication
        self._failover = FailoverSelection(
            replication, peer_demotion, missing_log_timeout_s
        )
        self._switchover = SwitchoverSelection(replication)
        self._locks = locks
        self._sender = PromotionSender(instance, promotions)
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
        domains = trigger.evacuated_domains

        async def marked_members_since(time: float) -> dict[str, MemberListing] | None:
            listed = await members_since(time)
            return mark_evacuated(listed, domains) if listed is not None else None

        listing_by_id = mark_evacuated(listing_by_id, domains)
        primary = listing_by_id.get(trigger.member)
        is_suspected = not (trigger.is_planned or trigger.writes_stalled)
        if (
            is_suspected
            and primary is not None
            and await self._primary_responds(primary)
        ):
            return "the primary responds"
        replicas = replicas_to_query(
            listing_by_id.values(), trigger.group, trigger.member
        )
        if len(replicas) < MIN_LOGS:
            return "too few replicas in the list of members"
        lock = await self._locks.acquire(trigger.group)
        if isinstance(lock, str):
            return lock
        # A silent primary may have been demoted, after which a late request counts.
        reachable = None if is_suspected else primary
        outstanding = await self._outstanding_requests(lock.record, reachable)
        plan = await self._select(
            trigger, listing_by_id, lock, outstanding, marked_members_since
        )
        resumable = replicas_to_resume(plan.paused, replicas, outstanding)
        result = await self._promote(trigger, plan, lock, outstanding, resumable)
        await self._end(result, frozenset() if plan.member else plan.roster)
        return result.outcome

    async def _outstanding_requests(
        self, record: PromotionLockRecord, primary: MemberListing | None
    ) -> tuple[str, ...]:
        """Return the members of outstanding requests.

        Those up to the request for the primary are left out if it shows that it still
        claims to be the primary.
        """
        members = outstanding_requests(record, "")
        if primary is None or primary.id not in members:
            return members
        status = await self._replication.send(primary, QueryStatus())
        if status is None or not status.claims_primary:
            return members
        return outstanding_requests(record, primary.id)

    async def _select(
        self,
        trigger: FailoverTrigger,
        listing_by_id: dict[str, MemberListing],
        lock: HeldPromotionLock,
        outstanding: tuple[str, ...],
        members_since: ReadMembersSince,
    ) -> PromotionPlan:
        record = record_outstanding(lock.record, outstanding)
        if trigger.is_planned:
            return await self._switchover.run(
                trigger, listing_by_id, record, members_since
            )
        may_be_demoted = not may_be_promoted_again(lock.record, trigger.member)
        return await self._failover.run(
            trigger, listing_by_id, record, members_since, may_be_demoted
        )

    async def _primary_responds(self, primary: MemberListing) -> bool:
        """Query a suspected primary; return whether it responds."""
        if await self._replication.send(primary, QueryStatus()) is None:
            return False
        await self._router.send(PrimaryResponded(primary.group, primary.id))
        return True

    async def _promote(
        self,
        trigger: FailoverTrigger,
        plan: PromotionPlan,
        lock: HeldPromotionLock,
        outstanding: tuple[str, ...],
        resumable: tuple[MemberListing, ...],
    ) -> AttemptResult:
        """Return the outcome, and the lock unless it has to expire.

        It expires if a promotion has or may have happened: until the new primary takes
        over, the members report the same state as before, and another attempt could
        choose another candidate. The replicas that were paused for the safety of an
        unanswered request stay paused, also in later attempts.
        """
        recorded = None
        if plan.member:
            recorded = await self._locks.record_promotion(
                lock, plan.member, plan.term, plan.roster, outstanding
            )
        if recorded is None:
            is_resumed = await self._resume(resumable, lock)
            reason = plan.reason or "the promotion lock was not written"
            return AttemptResult(reason, lock, is_resumed)
        is_resumed = True
        if plan.repeats_request:
            # Requests for the present primary have no effect, so no pause is needed.
            is_resumed = await self._resume(resumable, recorded)
        else:
            log_comparison(trigger, plan, record_outstanding(lock.record, outstanding))
        result, is_uncertain = await self._sender.run(trigger, plan.member, recorded)
        outcome = f"promotion {result.value} member={plan.member}"
        is_accepted = result is PromotionResult.ACCEPTED
        is_last = is_accepted and not is_uncertain
        if is_last and await self._end_outstanding(recorded) and plan.repeats_request:
            outcome = f"earlier requests ended member={plan.member}"
        if is_accepted or is_uncertain:
            return AttemptResult(outcome)
        is_resumed = await self._resume(resumable, recorded) and is_resumed
        record = record_refusal(recorded.record, lock.record, outstanding)
        return AttemptResult(outcome, recorded._replace(record=record), is_resumed)

    async def _end(self, result: AttemptResult, roster: frozenset[str]) -> None:
        """Release the lock of an attempt without a promotion.

        A replica that may be resumed later would receive after the next holder's pause,
        so the lock is then left to expire. ``roster`` is empty unless logs are missing.
        """
        lock = result.releasable_lock
        if lock is None:
            return
        if result.is_resumed:
            await self._locks.release(lock, roster)
            return
        logging.warning(
            "succession: lock left to expire, replicas may be resumed late name=%s",
            lock.name,
        )
        record = record_blocked(lock.record, roster) if roster else lock.record
        await self._locks.update(lock._replace(record=record))

    async def _end_outstanding(self, lock: HeldPromotionLock) -> bool:
        """Record that no request is outstanding after the acceptance of the last one.

        Return whether the rest of the lock's time is enough for the promotion to take
        effect. If not, the next holder has to prefer the same member.
        """
        if seconds_since_boot() + PROMOTION_EFFECT_S > lock.held_until:
            logging.info(
                "succession: promotion accepted late name=%s outstanding=%s",
                lock.name,
                ",".join(lock.record.get("outstanding", ())),
            )
            return False
        ended = record_outstanding(lock.record, ())
        await self._locks.update(lock._replace(record=ended))
        return True

    async def _resume(
        self, paused: tuple[MemberListing, ...], lock: HeldPromotionLock
    ) -> bool:
        """Resume paused replicas if the commands arrive while the lock is held.

        After its expiry another instance may rely on the pause. Return whether no
        command may still be executed, which is also true if none was sent.
        """
        if not paused:
            return True
        if seconds_since_boot() + COMMAND_TIMEOUT_S < lock.held_until:
            logging.info(
                "succession: resuming replicas name=%s members=%s",
                lock.name,
                ",".join(member.id for member in paused),
            )
            return not await self._replication.resume_all(paused)
        logging.warning(
            "succession: replicas left paused, lock expired name=%s",
            lock.name,
        )
        return True
