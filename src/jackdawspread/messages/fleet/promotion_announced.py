"""Datagram that announces a new promotion state of a group."""

from typing import NamedTuple

from jackdawspread.messages.fleet.promotion_state import PromotionState


class PromotionAnnounced(NamedTuple):
    """Announces a state that the sender has just written.

    Parameters
    ----------
    id : int
        Id of the announcement, which the receiver confirms; 0 if it need not.
    state : PromotionState
        New state.
    """

    id: int
    state: PromotionState
