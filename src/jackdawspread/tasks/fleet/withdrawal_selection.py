"""Repeated request for the present primary, which withdraws earlier requests."""

from jackdawspread.decisions.failover.outstanding_requests import outstanding_requests
from jackdawspread.decisions.failover.promotion_candidate import replicas_to_query
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.decisions.failover.reported_roles import (
    find_other_primary,
    paused_replicas,
)
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.promotion_plan import PromotionPlan
from jackdawspread.tasks.fleet.candidate_search import CandidateSearch
from jackdawspread.tasks.fleet.replication_control import ReplicationControl


class WithdrawalSelection:
    """Checks that the primary of a group leads it and may be requested again.

    Parameters
    ----------
    replication : ReplicationControl
        Sends status queries to members.
    """

    def __init__(self, replication: ReplicationControl) -> None:
        self._search = CandidateSearch(replication)

    async def run(
        self,
        trigger: FailoverTrigger,
        listing_by_id: dict[str, MemberListing],
        record: PromotionLockRecord,
    ) -> PromotionPlan:
        """Return the plan that requests the present primary once more."""
        if not outstanding_requests(record):
            return PromotionPlan(reason="no request is outstanding")
        primary = listing_by_id.get(trigger.member)
        if primary is None:
            return PromotionPlan(reason="the primary is not in the list of members")
        replicas = replicas_to_query(
            listing_by_id.values(), trigger.group, trigger.member
        )
        status_by_member = await self._search.query((*replicas, primary))
        refusal = _find_refusal(primary.id, status_by_member)
        if refusal:
            return PromotionPlan(reason=refusal)
        paused = paused_replicas(replicas, status_by_member)
        return PromotionPlan(primary.id, paused=paused, repeats_request=True)

    async def check_again(
        self, plan: PromotionPlan, listing_by_id: dict[str, MemberListing]
    ) -> PromotionPlan:
        """Return the plan if its member still leads, else one without a request."""
        group = listing_by_id[plan.member].group
        members = tuple(m for m in listing_by_id.values() if m.group == group)
        status_by_member = await self._search.query(members)
        refusal = _find_refusal(plan.member, status_by_member)
        return PromotionPlan(reason=refusal, paused=plan.paused) if refusal else plan


def _find_refusal(primary: str, status_by_member: dict[str, LogStatus]) -> str:
    if primary not in status_by_member:
        return "the primary did not answer"
    return find_other_primary(primary, status_by_member)
