"""Record of the promotion lock of one group."""

from typing import NotRequired, TypedDict


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
    term : int
        Newest term under which replicas were paused for a promotion. Records of
        earlier versions lack it.
    roster : list of str
        Addresses of the members that may hold an acknowledged commit: the listed ones,
        and those that have left and are not known to be covered. Records of earlier
        versions and of groups whose list has never been recorded lack it.
    outstanding : list of str
        Members whose promotion was requested and may still be executed, in order of the
        requests. Records of earlier versions lack it.
    requested_at : float
        Time of the store's clock in seconds until which the last promotion request
        could be sent, the expiry of its holder's lock. Only instances of earlier
        versions use it. Records of groups without a request lack it.
    blocked_since, blocked_at : float
        Times of the store's clock in seconds of the first and the last in a row of
        attempts that ended because logs were missing. The record lacks them if there
        was none since the last promotion.
    suspended : bool
        Whether the holder is comparing logs, so that no commit may be acknowledged
        until it releases the lock or the lock expires. Missing if it is not.
    fenced_token : int
        Token of the last attempt that suspended acknowledgements or recorded a request.
        Records of earlier versions lack it.
    log_end : list of int
        Term and sequence at which the log of ``ordered`` ended when logs were compared.
        Missing if its log went on growing, and in records of earlier versions.
    acknowledged, shown : list of int
        Terms and sequences of the highest positions that acknowledged commits have
        reached for certain, and that answers to them have shown. Missing if no attempt
        was told of any since the last promotion that has taken effect.
    shown_since : float
        Time of the store's clock in seconds since which attempts have waited for the
        position ``shown``. Missing if none waits for it.
    """

    token: int
    holder: str
    until: float
    ordered: str
    term: NotRequired[int]
    roster: NotRequired[list[str]]
    outstanding: NotRequired[list[str]]
    requested_at: NotRequired[float]
    blocked_since: NotRequired[float]
    blocked_at: NotRequired[float]
    suspended: NotRequired[bool]
    fenced_token: NotRequired[int]
    log_end: NotRequired[list[int]]
    acknowledged: NotRequired[list[int]]
    shown: NotRequired[list[int]]
    shown_since: NotRequired[float]
