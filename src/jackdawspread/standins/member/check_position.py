"""Position containment check."""

from jackdawspread.messages.position import Position
from jackdawspread.standins.member.log_entry import LogEntry
from jackdawspread.standins.member.position_relation import PositionRelation


def check_position(
    log: list[LogEntry], length: int, asked: Position
) -> PositionRelation:
    """Say whether the first `length` entries of a log contain a position.

    Terms never fall along a log.  An entry of a higher term at the asked sequence
    number, or a later term at the end of a shorter log, therefore means that the
    asked entry was lost; an entry of a lower term there may still be replaced.
    """
    if asked.sequence == 0:
        return PositionRelation.CONTAINED
    if asked.sequence <= len(log):
        own = log[asked.sequence - 1].position
        if own == asked:
            held = asked.sequence <= length
            return PositionRelation.CONTAINED if held else PositionRelation.BEHIND
    else:
        own = log[-1].position if log else Position(0, 0)
    if own.term > asked.term:
        return PositionRelation.DIVERGED
    return PositionRelation.BEHIND
