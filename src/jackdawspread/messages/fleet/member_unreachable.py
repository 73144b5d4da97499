"""Report that a member could not be reached."""

from typing import NamedTuple


class MemberUnreachable(NamedTuple):
    """A connection to a member could not be opened, broke, or timed out.

    Parameters
    ----------
    group : str
        Member group.
    member : str
        Id of the member.
    at : float
        Monotonic time in seconds.
    write_timed_out : bool
        Whether the member was alive but did not confirm a write before the timeout.
    reason : str
        What was observed, for the log.
    """

    group: str
    member: str
    at: float
    write_timed_out: bool
    reason: str
