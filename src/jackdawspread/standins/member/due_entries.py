"""Which entries of a member's log are due to be applied."""

from jackdawspread.standins.member.member_state import MemberState
from jackdawspread.standins.member.role import Role


def count_due_entries(
    state: MemberState, lag: float, now: float
) -> tuple[int, float | None]:
    """Return how many entries are applied at ``now``, and when the next one is due.

    A primary applies its entries without a lag. The time is None if all entries are
    due.

    Parameters
    ----------
    state : MemberState
        State with the log and the times at which its entries arrived.
    lag : float
        Seconds between the arrival of an entry and its application.
    now : float
        Monotonic time in seconds.
    """
    if state.role is Role.PRIMARY:
        lag = 0.0
    count = state.applied_count
    while count < len(state.log) and state.appended_at[count] + lag <= now:
        count += 1
    next_due = state.appended_at[count] + lag if count < len(state.log) else None
    return count, next_due
