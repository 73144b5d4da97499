"""Promise of a term."""

from jackdawspread.standins.member.member_state import MemberState
from jackdawspread.standins.member.requests.prepare import Prepare
from jackdawspread.standins.member.role import Role


def decide_prepare(state: MemberState, request: Prepare) -> tuple[MemberState, bool]:
    """Promise the term unless a newer one is promised; return whether granted.

    A promise newer than the member's own term ends its role as primary and stops
    replication from the primary it follows.
    """
    if request.term < state.promised:
        return state, False
    if request.term > state.term:
        state = state._replace(role=Role.REPLICA, upstream="")
    return state._replace(promised=request.term), True
