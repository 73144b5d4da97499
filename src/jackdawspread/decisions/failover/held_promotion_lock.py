"""Promotion lock held by this instance."""

from typing import NamedTuple

from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord


class HeldPromotionLock(NamedTuple):
    """Promotion lock of one group, held by this instance.

    Parameters
    ----------
    name : str
        Name of the record in the store.
    version : int
        Version of the record.
    epoch : int
        Epoch of the store to which the version belongs.
    record : PromotionLockRecord
        Content of the record.
    held_until : float
        Time in seconds of the boot-time clock at which the lock expires.
    """

    name: str
    version: int
    epoch: int
    record: PromotionLockRecord
    held_until: float
