"""Evidence on which a promotion is decided."""

from typing import NamedTuple

from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.position import Position


class PromotionEvidence(NamedTuple):
    """What an attempt knows of the logs of a group.

    Parameters
    ----------
    roster : frozenset of str
        Address of every member that may hold an acknowledged commit: the listed
        members, the primary, and members that have left and are not known to be
        covered. A member that returns after a crash has its log and its address, but
        another id.
    address_by_member : dict
        Addresses of the members that were queried, by their ids.
    status_by_member : dict
        Logs that can't grow any more, because their members are paused or demoted.
    leaving : frozenset of str
        Members that will shut down soon.
    demoted_primary : str
        Primary that this attempt has demoted; empty if it has demoted none.
    requested_earlier : str
        Member whose promotion an earlier attempt requested. That request may still be
        executed. Empty if there was none.
    unlisted : frozenset of str
        Members that answer although their entries have expired. Their logs count, but
        they are not promoted, as nobody finds them.
    acknowledged : Position or None
        Position that instances have acknowledged; None if none is known.
    """

    roster: frozenset[str]
    address_by_member: dict[str, str]
    status_by_member: dict[str, LogStatus]
    leaving: frozenset[str] = frozenset()
    demoted_primary: str = ""
    requested_earlier: str = ""
    unlisted: frozenset[str] = frozenset()
    acknowledged: Position | None = None
