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
        Term in which the member became primary or replicates.
    promised : int
        Greatest term that the member promised.
    position : Position
        End of the member's log.
    applied : Position
        Position of the last log entry that reads at the member show.
    upstream_age : float
        Seconds since the member last received a message from its primary.
    probe_sent_at : float
        Monotonic time in seconds at which the owner sent the probe.
    """

    address: str
    role: str
    term: int
    promised: int
    position: Position
    applied: Position
    upstream_age: float
    probe_sent_at: float
