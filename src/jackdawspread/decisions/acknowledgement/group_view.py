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
        Time in seconds of the boot-time clock at which a suspension began or ended, or
        the requests changed.
    """

    state: PromotionState
    changed_at: float = -inf


def replace_state(view: GroupView, state: PromotionState, now: float) -> GroupView:
    """Return the view with another state at ``now`` (boot-time clock, seconds)."""
    is_changed = _requests(state) != _requests(view.state)
    return GroupView(state, now if is_changed else view.changed_at)


def _requests(state: PromotionState) -> tuple[int, bool, tuple[str, ...]]:
    """Return what decides whether a promotion may lose a commit that is under way.

    A suspension may hide a request until it ends.
    """
    return state.fenced_token, state.is_suspended, state.outstanding
