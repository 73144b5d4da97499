"""Admitted operation of a caller."""

from math import inf
from typing import NamedTuple

from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted


class Operation(NamedTuple):
    """Operation that was admitted and is to be run at a member.

    Parameters
    ----------
    admitted : OperationAdmitted
        Route and workspace, and the version of the configuration they come from.
    request_id : str
        Request id that the caller chose.
    deadline : float
        Monotonic time in seconds at which the statement times out.
    connection_deadline : float
        Monotonic time in seconds until which it may wait for a member connection.
    target_at : float
        Monotonic time in seconds up to which its answer is within the latency target.
    """

    admitted: OperationAdmitted
    request_id: str
    deadline: float
    connection_deadline: float
    target_at: float = inf
