"""Log line about the comparison on which a promotion was decided."""

from absl import logging
from trio import current_time

from jackdawspread.decisions.failover.outstanding_requests import last_request
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.promotion_plan import PromotionPlan


def log_comparison(
    trigger: FailoverTrigger, plan: PromotionPlan, record: PromotionLockRecord
) -> None:
    """Log the positions, the pause term, the roster and the list of a promotion.

    ``record`` names the outstanding requests from before the promotion.
    """
    list_age_ms = "unknown"
    if plan.listed_since:
        list_age_ms = f"{1000 * (current_time() - plan.listed_since):.0f}"
    logging.info(
        "succession: compared group=%s primary=%s member=%s logs=%s paused=%s "
        "pause_term=%d roster=%s max_list_age_ms=%s requested_earlier=%s",
        trigger.group,
        trigger.member or "none",
        plan.member,
        ",".join(_describe(status) for status in sorted(plan.statuses)),
        ",".join(replica.id for replica in plan.paused) or "none",
        plan.term,
        ",".join(address or "unknown" for address in sorted(plan.roster)),
        list_age_ms,
        last_request(record) or "none",
    )


def _describe(status: LogStatus) -> str:
    position = status.received
    return f"{status.member}={position.term}.{position.sequence}"
