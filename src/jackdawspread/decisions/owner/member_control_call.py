"""Call on a control connection."""

from typing import NamedTuple


class MemberControlCall(NamedTuple):
    """Step on a member's control connection.

    Parameters
    ----------
    address : str
        ``IP:port`` of the member.
    step : str
        ``connect``, ``status``, ``prepare``, ``open`` or ``follow``.
    term : int
        Term of a promotion's step; 0 for others.
    primary : str
        Address to follow.
    sent_at : float
        Monotonic time in seconds.
    """

    address: str
    step: str
    term: int = 0
    primary: str = ""
    sent_at: float = 0.0
