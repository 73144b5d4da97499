"""Checks of the demotion of a primary on behalf of another instance."""

from jackdawspread.decisions.failover.plausible_status import is_plausible
from jackdawspread.messages.fleet.log_status import LogStatus


def may_demote(status: LogStatus, term: int) -> bool:
    """Whether a member is a primary of a lower term than that of the demotion.

    The log of a member that is a replica already may lack the commits of the primary
    after it.
    """
    return status.claims_primary and status.term < term


def shows_demotion(status: LogStatus | None, member: str) -> bool:
    """Whether a status shows that a primary no longer acknowledges commits."""
    return (
        status is not None
        and status.member == member
        and not status.claims_primary
        and is_plausible(status)
    )
