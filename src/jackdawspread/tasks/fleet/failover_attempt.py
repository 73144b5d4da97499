"""One attempt to replace the primary of a group (failover or switchover)."""

from math import inf

from absl import logging
from trio import MemorySendChannel, open_nursery

from jackdawspread.decisions.evacuations.evacuated_members import mark_evacuated
from jackdawspread.decisions.failover.acknowledgement_suspension import (
    end_suspension,
    take_back_extension,
)
from jackdawspread.decisions.failover.blocked_promotion import record_blocked
from jackdawspread.decisions.failover.held_promotion_lock import HeldPromotionLock
from jackdawspread.decisions.failover.outstanding_requests import (
    outstanding_requests,
    record_outstanding,
    replicas_to_resume,
)
from jackdawspread.decisions.failover.promotion_candidate import (
    MIN_LOGS,
    replicas_to_query,
)
from jackdawspread.decisions.failover.promotion_lock import PROMOTION_LOCK_TTL_S
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.decisions.failover.recorded_acknowledged import (
    forget_acknowledged,
    record_acknowledged,
    record_wait,
)
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.primary_responded import PrimaryResponded
from jackdawspread.messages.fleet.promotion_plan import PromotionPlan
from jackdawspread.messages.fleet.promotion_request import PromotionRequest
from jackdawspread.messages.fleet.promotion_result import PromotionResult
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.acknowledgement_fence import (
    NOT_FENCED,
    AcknowledgementFence,
)
from jackdawspread.tasks.fleet.acknowledgement_fences import AcknowledgementFences
from jackdawspread.tasks.fleet.attempt_result import AttemptResult
from jackdawspread.tasks.fleet.candidate_search import CandidateSearch
from jackdawspread.tasks.fleet.departed_query import DepartedQuery
from jackdawspread.tasks.fleet.failover_context import FailoverContext
from jackdawspread.tasks.fleet.failover_selection import FailoverSelection
from jackdawspread.tasks.fleet.peer_demotion_client import PeerDemotionClient
from jackdawspread.tasks.fleet.promotion_effect import (
    EFFECT_DELAY_S,
    PromotionEffect,
)
from jackdawspread.tasks.fleet.promotion_lock_client import (
    PromotionLockClient,
    promotion_lock_name,
)
from jackdawspread.tasks.fleet.promotion_log import (
    log_comparison,
    log_ended_requests,
)
from jackdawspread.tasks.fleet.promotion_sender import PromotionSender
from jackdawspread.tasks.fleet.read_members_since import ReadMembersSince
from jackdawspread.tasks.fleet.replication_control import (
    COMMAND_TIMEOUT_S,
    ReplicationControl,
)
from jackdawspread.tasks.fleet.switchover_selection import SwitchoverSelection
from jackdawspread.tasks.fleet.withdrawal_selection import WithdrawalSelection


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
    fences : AcknowledgementFences
        Fences acknowledgements of commits during attempts.
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
        fences: AcknowledgementFences,
        missing_log_timeout_s: float = inf,
    ) -> None:
        self._replication = replication
        self._search = CandidateSearch(replication)
        self._failover = FailoverSelection(
            replication, peer_demotion, missing_log_timeout_s
        )
        self._switchover = SwitchoverSelection(replication)
        self._withdrawal = WithdrawalSelection(replication)
        self._effect = PromotionEffect(replication)
        self._fences = fences
        self._locks = locks
        self._sender = PromotionSender(instance, promotions)
        self._router = router

    async def run(
        self,
        trigger: FailoverTrigger,
        listing_by_id: dict[str, MemberListing],
        members_since: ReadMembersSince,
        departed: tuple[MemberListing, ...] = (),
    ) -> str:
        """Return the outcome of the attempt in a few words.

        ``members_since`` waits for a list of members that was read after a monotonic
        time. ``departed`` are members that have left the list.
        """
        async with open_nursery() as queries:
            query = DepartedQuery(
                self._search, tuple(m for m in departed if m.id != trigger.member)
            )
            if not (trigger.is_planned or trigger.withdraws_requests):
                query.start(queries)
            return await self._run(trigger, listing_by_id, members_since, query)

    async def _run(
        self,
        trigger: FailoverTrigger,
        listing_by_id: dict[str, MemberListing],
        members_since: ReadMembersSince,
        departed: DepartedQuery,
    ) -> str:
        domains = trigger.evacuated_domains

        async def marked_members_since(time: float) -> MembersSeen | None:
            seen = await members_since(time)
            if seen is None:
                return None
            listing_by_id = mark_evacuated(seen.listing_by_id, domains)
            # An acknowledged commit of an asynchronous group need not be on a replica.
            is_whole = seen.is_whole or not trigger.fences_acknowledgements
            return seen._replace(listing_by_id=listing_by_id, is_whole=is_whole)

        listing_by_id = mark_evacuated(listing_by_id, domains)
        primary = listing_by_id.get(trigger.member)
        is_alive = (
            trigger.is_planned or trigger.writes_stalled or trigger.withdraws_requests
        )
        if (
            not is_alive
            and primary is not None
            and await self._primary_responds(primary)
        ):
            return "the primary responds"
        replicas = replicas_to_query(
            listing_by_id.values(), trigger.group, trigger.member
        )
        if len(replicas) < MIN_LOGS and not trigger.withdraws_requests:
            return "too few replicas in the list of members"
        lock = await self._locks.acquire(trigger.group)
        if isinstance(lock, str):
            return lock
        outstanding = outstanding_requests(lock.record)
        lock = lock._replace(record=record_outstanding(lock.record, outstanding))
        fence = self._fences.open(trigger.group, lock, trigger.fences_acknowledgements)
        # A silent primary may have been demoted, after which a late request counts.
        others = await self._other_members(outstanding, primary if is_alive else None)
        plan = await self._select(
            trigger, listing_by_id, lock, marked_members_since, fence, departed
        )
        resumable = replicas_to_resume(plan.paused, replicas, others)
        result = await self._promote(
            trigger, plan, lock, resumable, listing_by_id, fence
        )
        await self._end(result, frozenset() if plan.member else plan.roster, fence)
        return result.outcome

    async def _other_members(
        self, outstanding: tuple[str, ...], primary: MemberListing | None
    ) -> tuple[str, ...]:
        """Return the members of outstanding requests without the present primary.

        A primary is left out if it shows that it still claims to be the primary: it has
        every commit that it acknowledges.
        """
        if primary is None or primary.id not in outstanding:
            return outstanding
        status = await self._replication.send(primary, QueryStatus())
        if status is None or not status.claims_primary:
            return outstanding
        return tuple(member for member in outstanding if member != primary.id)

    async def _select(
        self,
        trigger: FailoverTrigger,
        listing_by_id: dict[str, MemberListing],
        lock: HeldPromotionLock,
        members_since: ReadMembersSince,
        fence: AcknowledgementFence,
        departed: DepartedQuery,
    ) -> PromotionPlan:
        """Return the member to promote, once acknowledgements are fenced for it."""
        record = lock.record
        if trigger.withdraws_requests:
            plan = await self._withdrawal.run(trigger, listing_by_id, record)
        elif trigger.is_planned:
            plan = await self._switchover.run(
                trigger, listing_by_id, record, members_since, fence
            )
        else:
            context = FailoverContext(trigger, record, members_since, fence)
            plan = await self._failover.run(context, listing_by_id, departed)
        if not plan.repeats_request:
            return plan
        # Its effect is awaited under the lock after the call.
        if not await fence.require(
            plan.member, plan.term, plan.roster, keeps_extension=True
        ):
            return PromotionPlan(reason=NOT_FENCED, paused=plan.paused)
        # An earlier request may have been executed during the fence.
        return await self._withdrawal.check_again(plan, listing_by_id)

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
        acquired: HeldPromotionLock,
        resumable: tuple[MemberListing, ...],
        listing_by_id: dict[str, MemberListing],
        fence: AcknowledgementFence,
    ) -> AttemptResult:
        """Return the outcome, and the lock unless it has to expire.

        It expires if a promotion has or may have happened: until the new primary takes
        over, the members report the same state as before, and another attempt could
        choose another candidate. The replicas that were paused for the safety of an
        unanswered request stay paused, also in later attempts.
        """
        outstanding = outstanding_requests(acquired.record)
        recorded = None
        if plan.member:
            recorded = await self._locks.record_promotion(
                fence.lock._replace(
                    record=_record_told(fence.lock.record, plan, fence)
                ),
                plan.member,
                plan.term,
                plan.roster,
                outstanding,
                _log_end(trigger, plan),
                EFFECT_DELAY_S if plan.repeats_request else 0.0,
            )
        if recorded is None:
            is_resumed = await self._resume(resumable, fence.lock)
            reason = plan.reason or "the promotion lock was not written"
            # A member that was required was not requested.
            record = _record_told(acquired.record, plan, fence)
            lock = fence.lock._replace(record=record)
            return AttemptResult(reason, lock, is_resumed)
        fence.announce(recorded)
        is_resumed = True
        if plan.repeats_request:
            # Requests for the present primary have no effect, so no pause is needed.
            is_resumed = await self._resume(resumable, recorded)
        else:
            log_comparison(trigger, plan, acquired.record)
        result, is_uncertain = await self._sender.run(
            trigger, plan.member, recorded, plan.repeats_request
        )
        outcome = f"promotion {result.value} member={plan.member}"
        if result is PromotionResult.ACCEPTED:
            is_shown = await self._end_requests(
                plan, listing_by_id, recorded, fence, is_uncertain
            )
            if is_shown and plan.repeats_request:
                await self._resume(plan.paused, recorded)
                outcome = f"earlier requests ended member={plan.member}"
            return AttemptResult(outcome)
        if is_uncertain:
            await self._update(recorded, fence)
            return AttemptResult(outcome)
        if plan.member not in outstanding:
            log_ended_requests(trigger.group, (plan.member,), result.value)
        is_resumed = await self._resume(resumable, recorded) and is_resumed
        record = record_outstanding(recorded.record, outstanding)
        return AttemptResult(outcome, recorded._replace(record=record), is_resumed)

    async def _end(
        self,
        result: AttemptResult,
        roster: frozenset[str],
        fence: AcknowledgementFence,
    ) -> None:
        """Release the lock of an attempt without a promotion.

        A replica that may be resumed later would receive after the next holder's pause,
        so the lock is then left to expire. ``roster`` is empty unless logs are missing.
        """
        lock = result.releasable_lock
        if lock is None:
            return
        if result.is_resumed:
            fence.announce(await self._locks.release(lock, roster))
            return
        logging.warning(
            "succession: lock left to expire, replicas may be resumed late name=%s",
            lock.name,
        )
        record = record_blocked(lock.record, roster) if roster else lock.record.copy()
        record["until"] = fence.lock.record["until"]
        written = await self._locks.update(lock._replace(record=end_suspension(record)))
        fence.announce(written)

    async def _end_requests(
        self,
        plan: PromotionPlan,
        listing_by_id: dict[str, MemberListing],
        lock: HeldPromotionLock,
        fence: AcknowledgementFence,
        is_uncertain: bool,
    ) -> bool:
        """Record which requests the acceptance of the last one has ended.

        Its token is above those of the earlier ones, so that they are refused from now
        on; one that was accepted just before takes effect before it. The request itself
        has ended once the members show its effect, unless ``is_uncertain``: an
        unanswered copy would promote its member again after a demotion. Return whether
        the effect is shown before the lock expires. If not, the next holder has to
        prefer the same member.
        """
        is_shown = await self._effect.is_shown(plan, listing_by_id, lock.held_until)
        requested = outstanding_requests(lock.record)
        left: tuple[str, ...] = ()
        if not is_shown and plan.repeats_request:
            left = requested
        elif not is_shown or is_uncertain:
            left = (plan.member,)
        group = lock.name.removeprefix(promotion_lock_name(""))
        ended = tuple(member for member in requested if member not in left)
        proof = "effect" if is_shown else "acceptance"
        log_ended_requests(group, ended, f"{proof} of {plan.member}")
        if not is_shown:
            logging.warning(
                "succession: no effect seen of an accepted promotion member=%s name=%s",
                plan.member,
                lock.name,
            )
        record = end_suspension(record_outstanding(lock.record, left))
        if is_shown and not (plan.repeats_request or plan.awaits_shown):
            record = forget_acknowledged(record)
        if plan.repeats_request and is_shown:
            # The lock is held as long after the call as that of a promotion.
            unused_s = lock.held_until - seconds_since_boot() - PROMOTION_LOCK_TTL_S
            record = take_back_extension(record, max(unused_s + EFFECT_DELAY_S, 0.0))
        written = await self._locks.update(lock._replace(record=record))
        fence.announce(written)
        return is_shown

    async def _update(
        self, lock: HeldPromotionLock, fence: AcknowledgementFence
    ) -> None:
        """End the suspension of an attempt whose request is outstanding."""
        if fence.has_written:
            record = end_suspension(lock.record)
            fence.announce(await self._locks.update(lock._replace(record=record)))

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


def _record_told(
    record: PromotionLockRecord, plan: PromotionPlan, fence: AcknowledgementFence
) -> PromotionLockRecord:
    """Return the record with what instances have told the attempt."""
    told = record_acknowledged(record, fence.acknowledged)
    return record_wait(told, fence.acquired_at) if plan.awaits_shown else told


def _log_end(trigger: FailoverTrigger, plan: PromotionPlan) -> Position | None:
    """Return the end of the log of the member to promote if it does not grow."""
    if trigger.is_planned or plan.repeats_request:
        return None
    ends = [status.received for status in plan.statuses if status.member == plan.member]
    return ends[0] if ends else None
