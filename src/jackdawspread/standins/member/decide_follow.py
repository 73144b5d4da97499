"""Handling of a request to follow the primary of a term."""

from expression import Error, Ok, Result

from jackdawspread.standins.member.check_term import check_term
from jackdawspread.standins.member.member_refusal import MemberRefusal
from jackdawspread.standins.member.member_state import MemberState
from jackdawspread.standins.member.requests.follow import Follow
from jackdawspread.standins.member.role import Role


def decide_follow(
    state: MemberState, request: Follow
) -> Result[MemberState, MemberRefusal]:
    """Become a replica of the primary of a term.

    Entries that conflict with the primary's log are truncated only when entries
    arrive from it.
    """
    checked = check_term(state, request.term)
    if checked.is_error():
        return Error(checked.error)
    if state.term == request.term and state.role is Role.PRIMARY:
        detail = f"the primary of term {request.term} cannot be its replica"
        return Error(MemberRefusal(409, "stale_term", detail))
    return Ok(
        state._replace(
            role=Role.REPLICA,
            term=request.term,
            promised=request.term,
            upstream=request.address,
        )
    )
