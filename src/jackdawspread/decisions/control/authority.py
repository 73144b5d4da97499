"""Authority of an instance to admit work.

Authority is a lease for one epoch of the view. Either a majority of the view's
members, which vote in their heartbeat answers, or a read of the platform that
shows the epoch renews it.
"""

from jackdawspread.decisions.control.control_state import NEVER, ControlState
from jackdawspread.decisions.control.control_timing import AUTHORITY_S


def vote_quorum(members: int) -> int:
    """Return how many votes, its own included, extend an instance's authority."""
    return members // 2 + 1


def view_change_quorum(members: int) -> int:
    """Return how many members must promise before the view may change.

    Every vote quorum has a member in common with every view change quorum, so
    after the promises no instance can collect enough votes for the old epoch.
    """
    return members - vote_quorum(members) + 1 if members else 0


def authority_deadline(state: ControlState, now: float) -> float:
    """Return the time until which the instance may admit work.

    Each vote counts from the time before the heartbeat was sent, so an answer that
    was delayed, for example by a pause of this process, does not extend authority.
    """
    if not state.is_member:
        return NEVER
    members = state.view.member_by_incarnation
    times = [
        at
        for incarnation, at in state.voted_at_by_incarnation.items()
        if incarnation in members and incarnation != state.incarnation
    ]
    is_promised = state.promised_epoch >= state.view.epoch
    times.append(state.promised_at if is_promised else now)
    times.sort(reverse=True)
    quorum = vote_quorum(len(members))
    voted_at = times[quorum - 1] if len(times) >= quorum else NEVER
    return max(voted_at, state.platform_epoch_read_at) + AUTHORITY_S


def has_authority(state: ControlState, now: float) -> bool:
    """Return whether the instance may admit work now."""
    return now < authority_deadline(state, now)
