"""Check of the term and the position that a read requires."""

from expression import Error, Ok, Result

from jackdawspread.standins.member.check_position import check_position
from jackdawspread.standins.member.check_term import check_primary
from jackdawspread.standins.member.member_refusal import MemberRefusal
from jackdawspread.standins.member.member_state import MemberState
from jackdawspread.standins.member.position_relation import PositionRelation
from jackdawspread.standins.member.requests.read import Read


def check_read(state: MemberState, request: Read) -> Result[None, MemberRefusal]:
    """Refuse a read whose term is outdated or whose position is not applied."""
    if request.term:
        checked = check_primary(state, request.term)
        if checked.is_error():
            return checked
    if request.position is None:
        return Ok(None)
    relation = check_position(state.log, state.applied_count, request.position)
    if relation is PositionRelation.CONTAINED:
        return Ok(None)
    fields = {"position": state.applied_position}
    if relation is PositionRelation.DIVERGED:
        detail = "the log does not contain the position"
        return Error(MemberRefusal(409, "diverged", detail, fields))
    detail = "the position has not been applied yet"
    return Error(MemberRefusal(409, "behind", detail, fields))
