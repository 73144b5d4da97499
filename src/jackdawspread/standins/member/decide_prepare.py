"""Handling of a request to promise a term."""

from jackdawspread.standins.member.member_state import MemberState
from jackdawspread.standins.member.requests.prepare import Prepare
from jackdawspread.standins.member.role import Role


def decide_prepare(state: MemberState, request: Prepare) -> tuple[MemberState, bool]:
    """Promise a term unless a newer one is promised; return whether it is granted.

    A promise of a term newer than the member's current one ends its role as
    primary and stops its replication from the primary that it follows.
    """
    if request.term < state.promised:
        return state, False
    if request.term > state.term:
        state = state._replace(role=Role.REPLICA, upstream="")
    return state._replace(promised=request.term), True
