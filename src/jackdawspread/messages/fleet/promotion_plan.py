"""Member to promote, and what its promotion relies on."""

from typing import NamedTuple

from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing


class PromotionPlan(NamedTuple):
    """Result of the comparison of the logs of a group.

    Parameters
    ----------
    member : str
        Id of the member to promote; empty if no log is known to be complete.
    reason : str
        Why there is no member to promote; empty if there is one.
    term : int
        Term under which replicas were paused; 0 if none was.
    roster : frozenset of str
        Members that may hold an acknowledged commit. Without a member to promote it is
        empty unless logs of them were missing.
    paused : tuple of MemberListing
        Replicas that were paused.
    statuses : tuple of LogStatus
        Logs that were compared.
    listed_since : float
        Monotonic time in seconds at or after which the list of members was read; 0 if
        it could not be read again.
    repeats_request : bool
        Whether the member is the present primary. Its request changes nothing but the
        fencing token, after which earlier requests have no effect.
    awaits_shown : bool
        Whether the attempt waits for a position that answers to commits have shown.
    """

    member: str = ""
    reason: str = ""
    term: int = 0
    roster: frozenset[str] = frozenset()
    paused: tuple[MemberListing, ...] = ()
    statuses: tuple[LogStatus, ...] = ()
    listed_since: float = 0.0
    repeats_request: bool = False
    awaits_shown: bool = False
