"""Plan of a load process."""

from typing import NamedTuple


class WorkerPlan(NamedTuple):
    """What one load process sends.

    Parameters
    ----------
    address : str
        ``IP:port`` to call.
    target, body : str
        HTTP target and body of every call.
    headers : list of tuple of str
        Headers of every call.
    connections : int
        Connections to use.
    seconds : float
        Duration.
    rate : float
        Calls per second; 0 to send each call when the one before is answered.
    connects : bool
        Whether a connection starts with a ``/connect`` call, as at a member.
    seed : str
        Seed of the gaps between calls.
    """

    address: str
    target: str
    body: str
    headers: list[tuple[str, str]]
    connections: int
    seconds: float
    rate: float
    connects: bool
    seed: str
