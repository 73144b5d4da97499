"""Handling of a request to confirm that the log contains an entry."""

from jackdawspread.standins.member.check_position import check_position
from jackdawspread.standins.member.member_state import MemberState
from jackdawspread.standins.member.position_relation import PositionRelation
from jackdawspread.standins.member.requests.confirm import Confirm


def decide_confirm(state: MemberState, request: Confirm) -> bool:
    """Return whether the member confirms a position in the current term.

    The last entry of the log must be of the requested term: until then, the log may
    end in entries that the primary of that term does not have.
    """
    relation = check_position(state.log, len(state.log), request.position)
    return (
        relation is PositionRelation.CONTAINED
        and state.last_position.term == request.term
        and state.promised <= request.term
    )
