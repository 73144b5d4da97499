"""Acknowledged commits of one term of a group."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class TermCommits(NamedTuple):
    """What an instance has seen of one term of a group.

    Parameters
    ----------
    first_seen : Position
        Lowest position that was seen.
    acknowledged : Position
        Position that the confirmed writes have reached for certain; sequence 0 if none
        is known.
    shown : Position
        Highest position in the answer to a confirmed write, which may include commits
        that are not confirmed; sequence 0 if there was none.
    """

    first_seen: Position
    acknowledged: Position
    shown: Position
