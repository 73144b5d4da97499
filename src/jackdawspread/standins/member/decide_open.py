"""Handling of a request to become the primary of a term."""

from expression import Error, Ok, Result

from jackdawspread.messages.position import Position
from jackdawspread.standins.member.log_entry import LogEntry
from jackdawspread.standins.member.member_refusal import MemberRefusal
from jackdawspread.standins.member.member_state import MemberState
from jackdawspread.standins.member.requests.open import Open
from jackdawspread.standins.member.role import Role


def decide_open(
    state: MemberState, request: Open, now: float
) -> Result[MemberState, MemberRefusal]:
    """Append a term-start entry and become primary; a retry changes nothing."""
    if request.term != state.promised:
        detail = f"promised term {state.promised}, not {request.term}"
        fields = {"promised": state.promised}
        return Error(MemberRefusal(409, "stale_term", detail, fields))
    if state.term == request.term:
        if state.role is Role.PRIMARY:
            return Ok(state)
        detail = f"already a replica in term {state.term}"
        return Error(MemberRefusal(409, "not_primary", detail))
    position = Position(request.term, len(state.log) + 1)
    state.log.append(LogEntry(position, "", "", "", (), ()))
    state.appended_at.append(now)
    return Ok(state._replace(role=Role.PRIMARY, term=request.term, upstream=""))
