"""Chooses the replica that keeps receiving during a switchover."""

from collections.abc import Iterable, Mapping

from jackdawspread.decisions.failover.promotion_candidate import most_advanced_log
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing


def choose_unpaused(
    replicas: Iterable[MemberListing],
    status_by_member: Mapping[str, LogStatus],
    previously_requested: str,
) -> str:
    """Return the replica that is not paused during a switchover.

    It keeps receiving until it has the logs of the paused replicas. A member whose
    promotion was requested earlier is therefore preferred, whatever its log and also if
    it leaves, as that request may still be executed. A leaving replica is better than
    none.
    """
    leaving = {replica.id for replica in replicas if replica.leaving}
    staying = [s for s in status_by_member.values() if s.member not in leaving]
    if previously_requested in status_by_member:
        return previously_requested
    best = most_advanced_log(staying or status_by_member.values(), ())
    return best.member if best is not None else ""
