"""Selection of the member that takes over from a leaving primary."""

from trio import current_time

from jackdawspread.decisions.failover.outstanding_requests import last_request
from jackdawspread.decisions.failover.pause_term import pause_term
from jackdawspread.decisions.failover.promotion_candidate import (
    MAX_UNCOVERED,
    replicas_to_query,
)
from jackdawspread.decisions.failover.promotion_lock import (
    recorded_roster,
    recorded_term,
)
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.decisions.failover.roster import group_roster
from jackdawspread.decisions.failover.unpaused_replica import choose_unpaused
from jackdawspread.messages.fleet.catch_up import CatchUp
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.promotion_plan import PromotionPlan
from jackdawspread.tasks.fleet.acknowledgement_fence import (
    NOT_FENCED,
    AcknowledgementFence,
)
from jackdawspread.tasks.fleet.candidate_search import CandidateSearch
from jackdawspread.tasks.fleet.read_members_since import (
    LIST_NOT_WHOLE,
    ReadMembersSince,
)
from jackdawspread.tasks.fleet.replication_control import ReplicationControl
from jackdawspread.tasks.fleet.replication_pause import ReplicationPause


class SwitchoverSelection:
    """Lets one replica receive all logs while the primary goes on acknowledging.

    Parameters
    ----------
    replication : ReplicationControl
        Sends status queries and replication commands to members.
    """

    def __init__(self, replication: ReplicationControl) -> None:
        self._search = CandidateSearch(replication)
        self._pause = ReplicationPause(replication)

    async def run(
        self,
        trigger: FailoverTrigger,
        listing_by_id: dict[str, MemberListing],
        record: PromotionLockRecord,
        members_since: ReadMembersSince,
        fence: AcknowledgementFence,
    ) -> PromotionPlan:
        """Return the member to promote and the replicas that were paused for it.

        The replica that receives may confirm commits of the primary for another
        replica. From the fence on they are acknowledged only once it has them, so the
        primary's log is queried after it.
        """
        replicas = replicas_to_query(
            listing_by_id.values(), trigger.group, trigger.member
        )
        status_by_member = await self._search.query(replicas)
        if len(status_by_member) < len(replicas):
            return PromotionPlan(reason="a replica did not answer")
        if any(status.claims_primary for status in status_by_member.values()):
            return PromotionPlan(reason="another member claims to be the primary")
        unpaused = choose_unpaused(replicas, status_by_member, last_request(record))
        to_pause = tuple(replica for replica in replicas if replica.id != unpaused)
        term = pause_term(status_by_member.values(), recorded_term(record))
        term, _ = await self._pause.run(to_pause, term)
        recorded = recorded_roster(record)
        if not await fence.require(
            unpaused, term, group_roster(trigger, listing_by_id.values(), recorded)
        ):
            return PromotionPlan(reason=NOT_FENCED, paused=to_pause)
        paused_at = current_time()
        primary = listing_by_id.get(trigger.member)
        catch_up = await self._search.catch_up(
            listing_by_id[unpaused],
            to_pause,
            primary,
            term,
            fence.acknowledged.shown,
        )
        seen = await members_since(paused_at) if catch_up.is_complete else None
        if seen is None:
            return PromotionPlan(
                reason="no replica is known to have every commit", paused=to_pause
            )
        if not (seen.is_whole or catch_up.has_primary_log):
            return PromotionPlan(reason=LIST_NOT_WHOLE, paused=to_pause)
        roster = group_roster(trigger, seen.listing_by_id.values(), recorded)
        missing = _missing_logs(roster, replicas, seen, catch_up)
        if len(missing) > MAX_UNCOVERED:
            reason = f"logs are missing addresses={','.join(sorted(missing))}"
            return PromotionPlan(reason=reason, paused=to_pause)
        return PromotionPlan(
            unpaused, "", term, roster, to_pause, catch_up.statuses, paused_at
        )


def _missing_logs(
    roster: frozenset[str],
    queried: tuple[MemberListing, ...],
    seen: MembersSeen,
    catch_up: CatchUp,
) -> frozenset[str]:
    """Return the addresses whose log the unpaused replica may lack.

    Members that have left, or are not listed yet, can't have confirmed more than the
    primary then had.
    """
    missing = roster - {replica.address for replica in queried}
    if not catch_up.has_primary_log:
        return missing
    return missing & {entry.address for entry in seen.listing_by_id.values()}
