"""Handling of a replica's request for log entries."""

from expression import Error, Ok, Result

from jackdawspread.messages.position import Position
from jackdawspread.standins.member.check_position import check_position
from jackdawspread.standins.member.check_term import check_primary
from jackdawspread.standins.member.log_entry import LogEntry
from jackdawspread.standins.member.member_refusal import MemberRefusal
from jackdawspread.standins.member.member_state import MemberState
from jackdawspread.standins.member.position_relation import PositionRelation
from jackdawspread.standins.member.requests.replicate import Replicate

MAX_ENTRIES = 500


def decide_replicate(
    state: MemberState, request: Replicate
) -> Result[tuple[LogEntry, ...], MemberRefusal]:
    """Return the entries after a position.

    If the log does not contain the position, the refusal carries an upper bound of
    the last common position, from which the replica tries again.
    """
    checked = check_primary(state, request.term)
    if checked.is_error():
        return Error(checked.error)
    after = request.after
    relation = check_position(state.log, len(state.log), after)
    if relation is PositionRelation.CONTAINED:
        return Ok(tuple(state.log[after.sequence : after.sequence + MAX_ENTRIES]))
    hint = common_prefix_bound(state.log, after)
    detail = "the log does not contain the replica's position"
    return Error(MemberRefusal(409, "diverged", detail, {"position": hint}))


def common_prefix_bound(log: list[LogEntry], other: Position) -> Position:
    """Return the last position of `log` that a log ending at `other` may contain."""
    for index in range(min(len(log), other.sequence) - 1, -1, -1):
        if log[index].position.term <= other.term:
            return log[index].position
    return Position(0, 0)
