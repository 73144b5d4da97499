"""Duty that an instance holds."""

from typing import NamedTuple

from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord


class HeldPromotionLock(NamedTuple):
    """Duty that this instance holds.

    Parameters
    ----------
    name : str
        Name of the record.
    version : int
        Version of the record.
    record : PromotionLockRecord
        Its content.
    held_until : float
        Time in seconds, counting suspension, until which others keep away.
    """

    name: str
    version: int
    record: PromotionLockRecord
    held_until: float
