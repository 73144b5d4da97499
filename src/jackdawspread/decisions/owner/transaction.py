"""Open interactive transaction."""

from typing import NamedTuple


class Transaction(NamedTuple):
    """Transaction pinned to one connection of the primary.

    Parameters
    ----------
    id : str
        ``<incarnation>.<database>.<number>``.
    workspace : str
        Only its requests may continue the transaction.
    address, connection : str, int
        Member and connection that it is pinned to.
    member_transaction : str
        Id at the member.
    term : int
        Term in which it began.
    idle_at : float
        Monotonic time in seconds at which it is rolled back if unused.
    deadline : float
        Monotonic time in seconds at which it is rolled back in any case.
    is_busy : bool
        Whether one of its statements is queued or in flight.
    """

    id: str
    workspace: str
    address: str
    connection: int
    member_transaction: str
    term: int
    idle_at: float
    deadline: float
    is_busy: bool = False
