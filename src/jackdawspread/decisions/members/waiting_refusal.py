"""Waiting request that is refused before its time has expired."""

from typing import NamedTuple

from jackdawspread.messages.fleet.connection_request import ConnectionRequest

NO_ROOM = "no room"
DISPLACED = "displaced"


class WaitingRefusal(NamedTuple):
    """Request that would not get room in time.

    Parameters
    ----------
    request : ConnectionRequest
        The request.
    reason : str
        ``DISPLACED`` if more urgent requests took its turn, else ``NO_ROOM``.
    wait_s : float
        Seconds for which it would have waited.
    retry_after_s : float
        Seconds after which its caller may retry.
    """

    request: ConnectionRequest
    reason: str
    wait_s: float
    retry_after_s: float
