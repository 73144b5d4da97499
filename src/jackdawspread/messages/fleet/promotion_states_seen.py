"""Promotion states of all groups, read from the store."""

from typing import NamedTuple

from jackdawspread.messages.fleet.promotion_state import PromotionState


class PromotionStatesSeen(NamedTuple):
    """Reports the promotion states of all groups as of one moment.

    Parameters
    ----------
    epoch : int
        Epoch of the store.
    as_of : float
        Time in seconds of the boot-time clock at or before which the store was read.
    states : tuple of PromotionState
        One for each group that has a record; no promotion was ever requested in the
        others.
    """

    epoch: int
    as_of: float
    states: tuple[PromotionState, ...]
