"""State of a member's log."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class LogStatus(NamedTuple):
    """What a member reports of its role and log.

    Parameters
    ----------
    member : str
        Id of the member.
    leads : bool
        Whether it takes itself for the primary.
    term : int
        Newest term that it has seen.
    received : Position
        End of the log that it has received, applied or not.
    """

    member: str
    leads: bool
    term: int
    received: Position
