"""Attempt of the holder of the promotion lock."""

from typing import NamedTuple

from spec.acknowledgement.instance import NONE

FAILOVER = "failover"
SWITCHOVER = "switchover"
WITHDRAWAL = "withdrawal"


class Attempt(NamedTuple):
    """Attempt under the token of the record.

    ``earlier`` are the members that were outstanding before it, as a bit mask.
    ``requested`` is the member that a switchover or a withdrawal has recorded, and
    ``end`` the primary's last entry that a switchover waits for. ``target`` is set once
    the member may be requested.
    """

    kind: str
    earlier: int = 0
    requested: int = NONE
    is_fenced: bool = False
    end: int = NONE
    target: int = NONE
    is_requested: bool = False


IDLE = Attempt("")
