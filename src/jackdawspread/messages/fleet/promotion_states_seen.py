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
    epoch_age_s : float
        Seconds for which the epoch had lasted at least when the store was read; 0 if
        that is not known.
    """

    epoch: int
    as_of: float
    states: tuple[PromotionState, ...]
    epoch_age_s: float = 0.0
