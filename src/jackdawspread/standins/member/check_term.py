"""Checks of the term that a request carries."""

from expression import Error, Ok, Result

from jackdawspread.standins.member.member_refusal import MemberRefusal
from jackdawspread.standins.member.member_state import MemberState
from jackdawspread.standins.member.role import Role


def check_term(state: MemberState, term: int) -> Result[None, MemberRefusal]:
    """Refuse a term lower than the promised one."""
    if term < state.promised:
        detail = f"term {term} is older than the promised term {state.promised}"
        fields = {"promised": state.promised}
        return Error(MemberRefusal(409, "stale_term", detail, fields))
    return Ok(None)


def check_primary(state: MemberState, term: int) -> Result[None, MemberRefusal]:
    """Refuse a request unless the member is the primary of the request's term."""
    checked = check_term(state, term)
    if checked.is_error():
        return checked
    if state.role is not Role.PRIMARY or state.term != term:
        detail = f"not the primary of term {term}"
        fields = {"term": state.term, "promised": state.promised}
        return Error(MemberRefusal(409, "not_primary", detail, fields))
    return Ok(None)
