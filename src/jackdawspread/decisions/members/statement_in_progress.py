"""Statement or transaction that uses a connection to a member."""

from typing import NamedTuple


class StatementInProgress(NamedTuple):
    """What is in progress on a leased connection.

    Parameters
    ----------
    started_at : float
        Monotonic time in seconds at which it got the connection.
    priority : int
        Priority of its route; 0 is the highest.
    is_single_statement : bool
        Whether it is one statement and not a transaction.
    """

    started_at: float
    priority: int
    is_single_statement: bool
