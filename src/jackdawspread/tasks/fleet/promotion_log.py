"""Log lines about the decision on a promotion, and about requests that end."""

from collections.abc import Iterable

from absl import logging
from trio import current_time

from jackdawspread.decisions.failover.outstanding_requests import (
    last_request,
    outstanding_requests,
)
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.acknowledged_positions import AcknowledgedPositions
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.promotion_plan import PromotionPlan
from jackdawspread.tasks.fleet.acknowledgement_log import describe_position


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
        "pause_term=%d roster=%s max_list_age_ms=%s requested_earlier=%s "
        "outstanding=%s",
        trigger.group,
        trigger.member or "none",
        plan.member,
        ",".join(_describe(status) for status in sorted(plan.statuses)),
        ",".join(replica.id for replica in plan.paused) or "none",
        plan.term,
        ",".join(address or "unknown" for address in sorted(plan.roster)),
        list_age_ms,
        last_request(record) or "none",
        ",".join(outstanding_requests(record)) or "none",
    )


def log_ended_requests(group: str, members: Iterable[str], proof: str) -> None:
    """Log which requests are not outstanding any more, and by what proof."""
    names = ",".join(members)
    if names:
        logging.info(
            "succession: requests ended group=%s members=%s by=%s", group, names, proof
        )


def describe_acknowledged(acknowledged: AcknowledgedPositions) -> str:
    """Return acknowledged positions as fields of a log line."""
    certain = describe_position(acknowledged.certain)
    return f"acknowledged={certain} shown={describe_position(acknowledged.shown)}"


def _describe(status: LogStatus) -> str:
    return f"{status.member}={describe_position(status.received)}"
