"""Operation of a caller."""

from typing import NamedTuple

from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted


class Operation(NamedTuple):
    """Admitted operation on its way to a member.

    Parameters
    ----------
    admitted : OperationAdmitted
        Route, workspace and the configuration that decided.
    request_id : str
        Id that the caller chose.
    deadline : float
        Monotonic time in seconds at which the statement ends.
    connection_deadline : float
        Monotonic time in seconds until which it may wait for a member.
    """

    admitted: OperationAdmitted
    request_id: str
    deadline: float
    connection_deadline: float
