"""Order of the promotion states of a group."""

from jackdawspread.messages.fleet.promotion_state import PromotionState


def newer_state(known: PromotionState, seen: PromotionState) -> PromotionState:
    """Return what is known of a group after another state was seen.

    Tokens of a later epoch are greater than all of an earlier one. A later epoch with a
    lower token therefore shows a record that was restored from a copy.

    Parameters
    ----------
    known : PromotionState
        State that is known.
    seen : PromotionState
        State that was read or announced.
    """
    if _rank(seen) == _rank(known):
        # The record has not changed, but a lock that has expired suspends nothing.
        is_suspended = known.is_suspended and seen.is_suspended
        return known._replace(is_suspended=is_suspended)
    if _rank(seen) < _rank(known):
        return known
    if seen.epoch > known.epoch:
        # A restored store may have forgotten the newest requests.
        outstanding = sorted({*known.outstanding, *seen.outstanding})
        return seen._replace(outstanding=tuple(outstanding))
    return seen


def end_suspension(state: PromotionState, epoch: int) -> PromotionState:
    """Return a state without the suspension of an epoch before ``epoch``.

    The record of such a lock is lost, so no record will show its end. To be called once
    all locks of the earlier epoch have expired.
    """
    if state.epoch < epoch:
        return state._replace(is_suspended=False)
    return state


def _rank(state: PromotionState) -> tuple[int, int, int]:
    return state.token, state.epoch, state.version
