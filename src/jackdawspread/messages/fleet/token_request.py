"""Datagram that asks the holder of a rate lease for a token."""

from typing import NamedTuple


class TokenRequest(NamedTuple):
    """Asks for a token of a workspace's rate; the sender uses each ``id`` once.

    Parameters
    ----------
    id : int
        Id of the request.
    workspace : str
        Workspace whose rate the operation counts against.
    priority : int
        Priority of the operation if tokens are given out by priority; 0 is the highest.
    """

    id: int
    workspace: str
    priority: int = 0
