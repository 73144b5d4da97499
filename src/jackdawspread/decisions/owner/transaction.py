"""Open interactive transaction."""

from typing import NamedTuple


class Transaction(NamedTuple):
    """Transaction pinned to one connection to the primary.

    Parameters
    ----------
    id : str
        ``<incarnation>.<database>.<number>``.
    workspace : str
        Workspace whose requests may continue the transaction.
    address, connection : str, int
        Member and connection that the transaction is pinned to.
    member_transaction : str
        Id of the transaction at the member.
    term : int
        Term in which the transaction began.
    idle_at : float
        Monotonic time in seconds at which the transaction is rolled back if idle.
    deadline : float
        Monotonic time in seconds after which the transaction is rolled back as soon
        as no statement is queued or in flight.
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
