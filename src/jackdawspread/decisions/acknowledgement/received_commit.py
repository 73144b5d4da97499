"""Whether a member has received a commit."""

from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.position import Position


def has_received(status: LogStatus, position: Position) -> bool:
    """Whether a status shows a replica whose log contains a position.

    A log that ends in another term may have branched off before the position.
    """
    return (
        not status.claims_primary
        and status.received.term == position.term
        and status.received.sequence >= position.sequence
    )


def still_leads_with(status: LogStatus, position: Position) -> bool:
    """Whether a status shows the primary that confirmed a position, in its term."""
    return (
        status.claims_primary
        and status.term == position.term
        and status.received >= position
    )
