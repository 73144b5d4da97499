"""Epoch of the platform's store."""

from typing import NamedTuple


class StoreEpoch(NamedTuple):
    """Time between two restores of the store from a copy.

    A restored store lacks its newest writes. Whoever relies on a write of an earlier
    epoch still does so, although the store has forgotten it.

    Parameters
    ----------
    number : int
        Number of the epoch, which grows with each restore.
    began_s : float
        Time of the store's clock in seconds at which the epoch had begun at the latest.
    """

    number: int
    began_s: float
