"""Failure of an exchange with a member."""

from typing import NamedTuple


class ExchangeFailure(NamedTuple):
    """Exchange without a complete answer; its connection is closed.

    Parameters
    ----------
    sent : bool
        Whether any byte of the last command may have reached the member.
    reason : str
        Description of the failure.
    timed_out : bool
        Whether the deadline passed while the connection was still open.
    at_host : bool
        Whether the connection to the pool host failed, which says nothing about the
        member.
    """

    sent: bool
    reason: str
    timed_out: bool = False
    at_host: bool = False
