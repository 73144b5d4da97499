"""Control connection to one member."""

from collections import deque
from typing import NamedTuple

from jackdawspread.decisions.owner.member_control_call import MemberControlCall


class MemberControlConnection(NamedTuple):
    """State of the control connection to a member.

    The control connection carries probes and the steps of promotions.

    Parameters
    ----------
    address : str
        ``IP:port`` of the member.
    queue : deque of MemberControlCall
        Steps that wait to be sent on the connection.
    connection : int
        Id of the connection; 0 if there is none.
    outstanding : MemberControlCall or None
        Call in flight.
    next_probe_at : float
        Monotonic time in seconds at which the next probe is due.
    has_probed : bool
        Whether any call was made after the set-up of the connection.
    """

    address: str
    queue: deque[MemberControlCall]
    connection: int = 0
    outstanding: MemberControlCall | None = None
    next_probe_at: float = 0.0
    has_probed: bool = False
