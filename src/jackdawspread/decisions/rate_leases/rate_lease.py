"""Lease of one part of the workspaces' rates as stored."""

from typing import NotRequired, TypedDict


class RateLease(TypedDict):
    """Lease of a part of every workspace's rate.

    Parameters
    ----------
    holder : str
        Id of the instance that holds the lease.
    address : str
        ``IP:port`` at which the other instances ask it for tokens.
    until : float
        Time of the store's clock in seconds at which the lease expires.
    epoch : int
        Epoch of the store in which the lease was written. Instances of an earlier
        version leave it out.
    """

    holder: str
    address: str
    until: float
    epoch: NotRequired[int]
