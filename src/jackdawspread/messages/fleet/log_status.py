"""Status of a member's log."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class LogStatus(NamedTuple):
    """Reports the role of a member and the state of its log.

    Parameters
    ----------
    member : str
        Id of the member.
    claims_primary : bool
        Whether the member claims to be the primary.
    term : int
        Newest term that the member knows.
    received : Position
        End of the log that the member has received, whether applied or not.
    paused_term : int
        Term for which its replication is paused; 0 if it is not paused.
    """

    member: str
    claims_primary: bool
    term: int
    received: Position
    paused_term: int = 0
