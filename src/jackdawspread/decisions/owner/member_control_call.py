"""Call on a control connection."""

from typing import NamedTuple


class MemberControlCall(NamedTuple):
    """Call on a member's control connection.

    Parameters
    ----------
    address : str
        ``IP:port`` of the member.
    step : str
        ``connect``, ``status``, ``prepare``, ``open`` or ``follow``.
    term : int
        Term that a step of a promotion names; 0 for the other steps.
    primary : str
        Address of the primary that a ``follow`` names; empty for the other steps.
    sent_at : float
        Monotonic time in seconds at which the call was sent.
    """

    address: str
    step: str
    term: int = 0
    primary: str = ""
    sent_at: float = 0.0
