"""Session of a caller."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class Session(NamedTuple):
    """Log positions that a caller's reads must observe, for each database.

    They are positions of acknowledged writes, or of reads whose data a second member
    has, so a failover cannot lose them.
    """

    workspace: str
    position_by_database: dict[str, Position]
