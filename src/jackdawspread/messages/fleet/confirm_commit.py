"""Request to check a commit before it is acknowledged."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.commit_confirmation import CommitConfirmation
from jackdawspread.messages.position import Position


class ConfirmCommit(NamedTuple):
    """Asks the acknowledgement task whether a commit may be acknowledged.

    Parameters
    ----------
    group : str
        Member group.
    member : str
        Id of the member that answered the write or the COMMIT.
    position : Position or None
        End of that member's log in its answer; None if the answer has none, so that the
        commit can't be verified at other members.
    sent_at : float
        Time in seconds of the boot-time clock at which the statement was sent.
    expires_at : float
        Monotonic time in seconds at which the statement times out.
    reply_to : trio.MemorySendChannel
        Receives the result.
    """

    group: str
    member: str
    position: Position | None
    sent_at: float
    expires_at: float
    reply_to: MemorySendChannel[CommitConfirmation]
