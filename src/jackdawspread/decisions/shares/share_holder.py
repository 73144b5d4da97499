"""Shares of one instance as kept in the store."""

from typing import TypedDict


class ShareHolder(TypedDict):
    """Shares that an instance holds and those that it needs.

    Parameters
    ----------
    address : str
        ``IP:port`` at which its peers reach it.
    until : float
        Time of the store's clock in seconds until which the shares are held.
    held, needed : dict
        Fractions of each workspace's rate.
    """

    address: str
    until: float
    held: dict[str, float]
    needed: dict[str, float]
