"""Proof that an accepted promotion has taken effect."""

from trio import sleep

from jackdawspread.decisions.failover.reported_roles import find_other_primary
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.promotion_plan import PromotionPlan
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.replication_control import ReplicationControl

POLL_INTERVAL_S = 0.05
# A promotion takes effect some hundred milliseconds after its acceptance, also one that
# was accepted just before a request for the present primary.
EFFECT_DELAY_S = 1.5


class PromotionEffect:
    """Queries members until they show a promotion.

    Parameters
    ----------
    replication : ReplicationControl
        Sends status queries to members.
    """

    def __init__(self, replication: ReplicationControl) -> None:
        self._replication = replication

    async def is_shown(
        self,
        plan: PromotionPlan,
        listing_by_id: dict[str, MemberListing],
        deadline: float,
    ) -> bool:
        """Whether the members show the promotion until a time of the boot clock.

        A member that was not the primary shows it by claiming to be the primary in a
        newer term than when logs were compared. The present primary keeps its term; it
        shows that no earlier request was executed if nobody else claims its role once
        an earlier promotion must have taken effect.
        """
        listings = {member.id: member for member in plan.paused} | listing_by_id
        member = listings.get(plan.member)
        if member is None:
            return False
        replicas = tuple(
            listing
            for listing in listings.values()
            if listing.group == member.group and listing.id != member.id
        )
        if plan.repeats_request:
            if seconds_since_boot() + EFFECT_DELAY_S >= deadline:
                return False
            await sleep(EFFECT_DELAY_S)
        while True:
            if plan.repeats_request:
                queried = (*replicas, member)
                statuses = await self._replication.send_all(queried, QueryStatus())
                has_effect = member.id in statuses and not find_other_primary(
                    member.id, statuses
                )
            else:
                status = await self._replication.send(member, QueryStatus())
                has_effect = _is_newer_primary(status, plan)
            if has_effect or seconds_since_boot() + POLL_INTERVAL_S >= deadline:
                return has_effect
            await sleep(POLL_INTERVAL_S)


def _is_newer_primary(status: LogStatus | None, plan: PromotionPlan) -> bool:
    if status is None or not status.claims_primary:
        return False
    compared = [s.term for s in plan.statuses if s.member == plan.member]
    return status.term > max(compared, default=0)
