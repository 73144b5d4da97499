"""Record of the duty to promote in one group."""

from typing import TypedDict


class PromotionLockRecord(TypedDict):
    """Who may promote in a group.

    Parameters
    ----------
    token : int
        Fencing token; each attempt takes the next one.
    holder : str
        Instance that holds the token.
    until : float
        Time of the store's clock in seconds until which others keep away.
    ordered : str
        Member whose promotion was ordered last; empty if none was.
    """

    token: int
    holder: str
    until: float
    ordered: str
