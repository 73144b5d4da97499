"""Datagram with the promotion states that another instance has read."""

from typing import NamedTuple

from jackdawspread.messages.fleet.promotion_state import PromotionState


class PromotionStatesRelayed(NamedTuple):
    """Passes on the promotion states of all groups.

    Parameters
    ----------
    instance : str
        Id of the instance that has read them.
    epoch : int
        Epoch of the store.
    store_time_s : float
        Time of the store's clock in seconds at or before which the store was read.
    states : tuple of PromotionState
        One for each group that has a record.
    epoch_age_s : float
        Seconds for which the epoch had lasted at least when the store was read; 0 if
        that is not known.
    """

    instance: str
    epoch: int
    store_time_s: float
    states: tuple[PromotionState, ...]
    epoch_age_s: float = 0.0
