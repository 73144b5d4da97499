"""Confirmation that an entry is held in a term."""

from jackdawspread.standins.member.check_position import check_position
from jackdawspread.standins.member.member_state import MemberState
from jackdawspread.standins.member.position_relation import PositionRelation
from jackdawspread.standins.member.requests.confirm import Confirm


def decide_confirm(state: MemberState, request: Confirm) -> bool:
    """Confirm a held position in the term in force.

    The last log term must equal the term: before that, the log may end in a tail
    that the term's primary does not have.
    """
    standing = check_position(state.log, len(state.log), request.position)
    return (
        standing is PositionRelation.CONTAINED
        and state.end.term == request.term
        and state.promised <= request.term
    )
