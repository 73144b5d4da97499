"""Record of one operation."""

from typing import NamedTuple

from bench.load.attempt import Attempt
from bench.load.outcome import Outcome
from bench.operations.prepared_call import PreparedCall


class OperationRecord(NamedTuple):
    """What a caller saw of an operation; times in seconds since the load started.

    Parameters
    ----------
    id : str
        Id of the operation.
    kind : str
        Name of the operation's type.
    call : PreparedCall
        The call made.
    caller, workspace, database : str
        Who called what.
    due, finished : float
        Intended time of sending, and time of the last answer.
    outcome : Outcome
        How it ended.
    attempts : tuple of Attempt
        Every call made.
    role : str
        Role of the member that answered, for example ``replica``.
    effective : bool
        Whether a binding write says that it left its record.
    marker_matches : bool
        Whether the answer carried the marker of this operation.
    missing : tuple of str
        Own acknowledged records that a read did not return.
    started : float
        Time of the first call; later than ``due`` if the caller was busy.
    """

    id: str
    kind: str
    call: PreparedCall
    caller: str
    workspace: str
    database: str
    due: float
    finished: float
    outcome: Outcome
    attempts: tuple[Attempt, ...] = ()
    role: str = ""
    effective: bool = False
    marker_matches: bool = True
    missing: tuple[str, ...] = ()
    started: float = 0.0
