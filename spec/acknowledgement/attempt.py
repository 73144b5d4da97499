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
    the member may be requested. ``certain`` and ``shown`` are the highest positions
    that the instances which confirmed the fence have told. ``has_primary_log`` states
    that the fence ended early with the log of the demoted primary.
    """

    kind: str
    earlier: int = 0
    requested: int = NONE
    is_fenced: bool = False
    end: int = NONE
    target: int = NONE
    is_requested: bool = False
    certain: int = 0
    shown: int = 0
    has_primary_log: bool = False


IDLE = Attempt("")
