"""Session of a caller."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class Session(NamedTuple):
    """What a caller's reads must observe, for each database.

    Positions are those of acknowledged writes, or of reads whose data a second
    member holds, so none of them can be lost by a change of primary.
    """

    workspace: str
    position_by_database: dict[str, Position]
