"""Whether a change of a promotion state suspends acknowledgements."""

from jackdawspread.messages.fleet.promotion_state import PromotionState


def begins_suspension(before: PromotionState, state: PromotionState) -> bool:
    """Whether a state suspends acknowledgements, and the one before did not.

    The suspension of another attempt counts as a new one.
    """
    if not state.is_suspended:
        return False
    return not before.is_suspended or before.token != state.token
