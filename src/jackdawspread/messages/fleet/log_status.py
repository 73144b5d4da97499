"""State of a member's log."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class LogStatus(NamedTuple):
    """What a member reports of its role and log.

    Parameters
    ----------
    member : str
        Id of the member.
    claims_primary : bool
        Whether it takes itself for the primary.
    term : int
        Newest term that it has seen.
    received : Position
        End of the log that it has received, applied or not.
    paused_term : int
        Term under which it is paused; 0 if it receives.
    """

    member: str
    claims_primary: bool
    term: int
    received: Position
    paused_term: int = 0
