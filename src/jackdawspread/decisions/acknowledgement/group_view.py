"""What an instance knows of the promotions of one group."""

from math import inf
from typing import NamedTuple

from jackdawspread.messages.fleet.promotion_state import PromotionState


class GroupView(NamedTuple):
    """Newest known promotion state of a group.

    Parameters
    ----------
    state : PromotionState
        The state.
    changed_at : float
        Time in seconds of the boot-time clock at which the token or the outstanding
        members last changed.
    """

    state: PromotionState
    changed_at: float = -inf


def replace_state(view: GroupView, state: PromotionState, now: float) -> GroupView:
    """Return the view with another state at ``now`` (boot-time clock, seconds)."""
    is_changed = (state.token, state.outstanding) != (
        view.state.token,
        view.state.outstanding,
    )
    return GroupView(state, now if is_changed else view.changed_at)
