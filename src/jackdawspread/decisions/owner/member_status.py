"""Status of a member as it reported it."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class MemberStatus(NamedTuple):
    """Answer to a probe, with the time at which the probe was sent.

    Parameters
    ----------
    address : str
        ``IP:port`` of the member.
    role : str
        ``"primary"`` or ``"replica"``.
    term : int
        Term in which the member opened or follows.
    promised : int
        Greatest term that it promised.
    position : Position
        End of its log.
    applied : Position
        Last entry that its reads show.
    upstream_age : float
        Seconds since it last heard its primary.
    asked_at : float
        Monotonic time in seconds at which the owner sent the probe.
    """

    address: str
    role: str
    term: int
    promised: int
    position: Position
    applied: Position
    upstream_age: float
    asked_at: float
