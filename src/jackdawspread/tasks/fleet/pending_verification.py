"""Commit that awaits its verification."""

from typing import NamedTuple

from trio import Event

from jackdawspread.messages.position import Position


class PendingVerification(NamedTuple):
    """Commit that some members have not been seen to have received.

    Parameters
    ----------
    position : Position
        Position of the commit.
    missing : set of str
        Members that have not been seen to have received it.
    answered_by : str
        Member that answered the write, as the primary.
    ended : trio.Event
        Set when no member is missing, or when the wait is interrupted.
    """

    position: Position
    missing: set[str]
    answered_by: str
    ended: Event
