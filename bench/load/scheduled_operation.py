"""Operation with its time."""

from typing import NamedTuple


class ScheduledOperation(NamedTuple):
    """Operation that a caller starts ``due`` seconds after the load starts.

    Parameters
    ----------
    id : str
        Unique id: request id and marker.
    due : float
        Intended time of sending.
    caller : int
        Index of the caller.
    database : str
        Database to call.
    operation : NamedTuple
        What to do.
    """

    id: str
    due: float
    caller: int
    database: str
    operation: object
