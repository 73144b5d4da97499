"""Finds acknowledged commits that the log of a new primary lacks."""

from jackdawspread.messages.position import Position


def is_commit_missing(acknowledged: Position, seen: Position) -> bool:
    """Whether a position of a later term shows that a commit was lost.

    Sequence numbers continue in a new term, so the promoted log ended at
    ``seen.sequence`` at the latest: a primary that has no commit in its term yet may
    show the new term with the end of the promoted log. The protocol does not say
    whether numbers may start anew; a number below half of the acknowledged one is taken
    for that and shows nothing.
    """
    return (
        seen.term > acknowledged.term
        and acknowledged.sequence // 2 < seen.sequence < acknowledged.sequence
    )


def confirmed_commit(before: Position | None, shown: Position) -> Position:
    """Return a position that a confirmed write has reached for certain.

    ``before`` is a position that was known when the write was sent, ``shown`` the one
    in the answer to it. The latter may include commits of others that are not
    confirmed yet, so the write itself may be anywhere between the two.
    """
    if before is None or before.term != shown.term:
        return Position(shown.term, 0)
    return min(shown, before._replace(sequence=before.sequence + 1))
