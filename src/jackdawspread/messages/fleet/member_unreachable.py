"""Failure to get an answer from a member."""

from typing import NamedTuple


class MemberUnreachable(NamedTuple):
    """A connection to a member could not be opened, broke, or stayed silent.

    Parameters
    ----------
    group : str
        Member group.
    member : str
        Id of the member.
    at : float
        Monotonic time in seconds.
    write_timed_out : bool
        Whether the member was alive but did not confirm a write in time.
    reason : str
        What was seen.
    """

    group: str
    member: str
    at: float
    write_timed_out: bool
    reason: str
