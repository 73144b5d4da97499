"""Missing answer of a member."""

from typing import NamedTuple


class ExchangeFailure(NamedTuple):
    """Says that no whole answer arrived and the connection is closed.

    Parameters
    ----------
    sent : bool
        Whether any byte of the command may have reached the member.
    reason : str
        What was seen.
    timed_out : bool
        Whether the deadline passed while the connection seemed alive.
    """

    sent: bool
    reason: str
    timed_out: bool = False
