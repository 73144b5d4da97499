"""Record of the promotion lock of one group."""

from typing import TypedDict


class PromotionLockRecord(TypedDict):
    """Holder of the promotion lock of a group, as stored.

    Parameters
    ----------
    token : int
        Fencing token, which grows with each acquisition.
    holder : str
        Instance that holds the lock; empty if none does.
    until : float
        Time of the store's clock in seconds at which the lock expires.
    ordered : str
        Member whose promotion was requested last; empty if none was.
    """

    token: int
    holder: str
    until: float
    ordered: str
