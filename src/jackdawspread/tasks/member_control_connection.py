"""Control connection to one member."""

from collections import deque
from typing import NamedTuple

from jackdawspread.decisions.owner.member_control_call import MemberControlCall


class MemberControlConnection(NamedTuple):
    """State of a control connection.

    Parameters
    ----------
    address : str
        ``IP:port`` of the member.
    queue : deque of MemberControlCall
        Steps that wait for the connection.
    connection : int
        Id of the connection; 0 if there is none.
    outstanding : MemberControlCall or None
        Call in flight.
    next_probe_at : float
        Monotonic time in seconds.
    has_probed : bool
        Whether a call followed the set-up of the connection.
    """

    address: str
    queue: deque[MemberControlCall]
    connection: int = 0
    outstanding: MemberControlCall | None = None
    next_probe_at: float = 0.0
    has_probed: bool = False
