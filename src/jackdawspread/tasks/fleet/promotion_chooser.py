"""Choice of the member to promote, within the settings."""

from absl import logging

from jackdawspread.decisions.failover.acknowledged_choice import (
    AcknowledgedChoice,
    choose_acknowledged,
)
from jackdawspread.decisions.failover.blocked_promotion import is_overdue
from jackdawspread.decisions.failover.promotion_candidate import (
    choose_candidate,
    silent_addresses,
    without_departed,
)
from jackdawspread.decisions.failover.promotion_evidence import PromotionEvidence
from jackdawspread.decisions.failover.promotion_lock import acquired_at
from jackdawspread.decisions.failover.recorded_acknowledged import has_waited
from jackdawspread.decisions.failover.roster import UNKNOWN_ADDRESS
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.tasks.fleet.failover_context import FailoverContext


class PromotionChooser:
    """Chooses by the logs, by what was acknowledged and by the limit in the settings.

    Parameters
    ----------
    missing_log_timeout_s : float
        Time in seconds after which a member is promoted without the logs of members
        that are gone; infinite if never, as commits may be lost.
    """

    def __init__(self, missing_log_timeout_s: float) -> None:
        self._missing_log_timeout_s = missing_log_timeout_s

    def choose(
        self,
        context: FailoverContext,
        evidence: PromotionEvidence,
        listing_by_id: dict[str, MemberListing],
    ) -> AcknowledgedChoice:
        """Return the member to promote.

        Members that are gone are waited for. Where the settings limit that time, the
        most advanced of the listed replicas is then taken if all of them answer.
        """
        record, acknowledged = context.record, context.fence.acknowledged
        is_waited = has_waited(record, acknowledged, acquired_at(record))
        choice = choose_acknowledged(evidence, acknowledged, is_waited)
        is_limited = is_overdue(record, self._missing_log_timeout_s)
        if choice.candidate is not None or not is_limited:
            return choice
        listed = {listing.address for listing in listing_by_id.values()}
        primary = listing_by_id.get(context.trigger.member)
        remaining = without_departed(
            evidence,
            listed,
            primary.address if primary is not None else UNKNOWN_ADDRESS,
        )
        if silent_addresses(remaining) - {UNKNOWN_ADDRESS}:
            return choice
        candidate = choose_candidate(remaining)
        if candidate is None:
            return choice
        logging.error(
            "succession: commits may be lost, promoting without the logs of "
            "addresses=%s group=%s",
            ",".join(sorted(evidence.roster - remaining.roster)),
            context.trigger.group,
        )
        return AcknowledgedChoice(candidate)
