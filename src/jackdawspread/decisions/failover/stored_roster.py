"""Roster of a group as it was read from the store."""

from typing import NamedTuple

from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord


class StoredRoster(NamedTuple):
    """Record that holds the roster of a group, and the version that was read.

    Parameters
    ----------
    group : str
        Member group.
    version : int
        Version of the record.
    epoch : int
        Epoch of the store to which the version belongs.
    record : PromotionLockRecord
        Content of the record.
    is_locked : bool
        Whether an instance holds the promotion lock in the record.
    """

    group: str
    version: int
    epoch: int
    record: PromotionLockRecord
    is_locked: bool
