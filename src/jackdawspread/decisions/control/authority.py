"""Authority of an instance to admit work."""

from jackdawspread.decisions.control.control_state import NEVER, ControlState
from jackdawspread.decisions.control.control_timing import AUTHORITY_S


def vote_quorum(members: int) -> int:
    """Return how many members must vouch for an instance."""
    return members // 2 + 1


def view_change_quorum(members: int) -> int:
    """Return how many members must promise before a change of view.

    Every vouch quorum shares a member with it, so after the promises no
    instance can gather vouches for the old epoch.
    """
    return members - vote_quorum(members) + 1 if members else 0


def authority_deadline(state: ControlState, now: float) -> float:
    """Return the time until which the instance may admit work.

    The time counts from before asking, so an answer that was delayed, for
    example by a pause of this process, extends nothing.
    """
    if not state.is_member:
        return NEVER
    members = state.view.member_by_incarnation
    asked = [
        at
        for incarnation, at in state.voted_at_by_incarnation.items()
        if incarnation in members and incarnation != state.incarnation
    ]
    is_promised = state.promised_epoch >= state.view.epoch
    asked.append(state.promised_at if is_promised else now)
    asked.sort(reverse=True)
    quorum = vote_quorum(len(members))
    voted_at = asked[quorum - 1] if len(asked) >= quorum else NEVER
    return max(voted_at, state.platform_epoch_read_at) + AUTHORITY_S


def has_authority(state: ControlState, now: float) -> bool:
    """Whether the instance may admit work now."""
    return now < authority_deadline(state, now)
