"""Check whether a log contains a position."""

from jackdawspread.messages.position import Position
from jackdawspread.standins.member.log_entry import LogEntry
from jackdawspread.standins.member.position_relation import PositionRelation


def check_position(
    log: list[LogEntry], length: int, requested: Position
) -> PositionRelation:
    """Return whether the first `length` entries of a log contain a position.

    Terms never decrease along a log.  An entry of a higher term at the requested
    sequence number, or at the end of a shorter log, therefore means that the
    requested entry was lost.  An entry of a lower term at that sequence number may
    still be replaced.
    """
    if requested.sequence == 0:
        return PositionRelation.CONTAINED
    if requested.sequence <= len(log):
        own = log[requested.sequence - 1].position
        if own == requested:
            is_contained = requested.sequence <= length
            return (
                PositionRelation.CONTAINED if is_contained else PositionRelation.BEHIND
            )
    else:
        own = log[-1].position if log else Position(0, 0)
    if own.term > requested.term:
        return PositionRelation.DIVERGED
    return PositionRelation.BEHIND
