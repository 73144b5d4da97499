"""Control connection to one member."""

from collections import deque
from typing import NamedTuple

from jackdawspread.decisions.owner.control_call import ControlCall


class ControlLink(NamedTuple):
    """State of a control connection.

    Parameters
    ----------
    address : str
        ``IP:port`` of the member.
    queue : deque of ControlCall
        Steps that wait for the connection.
    connection : int
        Id of the connection; 0 if there is none.
    outstanding : ControlCall or None
        Call in flight.
    next_probe_at : float
        Monotonic time in seconds.
    has_probed : bool
        Whether a call followed the set-up of the connection.
    """

    address: str
    queue: deque[ControlCall]
    connection: int = 0
    outstanding: ControlCall | None = None
    next_probe_at: float = 0.0
    has_probed: bool = False
