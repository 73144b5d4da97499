"""Shares of one instance as stored."""

from typing import TypedDict


class ShareHolder(TypedDict):
    """Shares that an instance holds and shares that it needs.

    Parameters
    ----------
    address : str
        ``IP:port`` at which its peers reach it.
    until : float
        Time of the store's clock in seconds at which the shares expire.
    held, needed : dict
        Fractions of the workspaces' rates, by workspace.
    """

    address: str
    until: float
    held: dict[str, float]
    needed: dict[str, float]
