"""Request to admit an operation."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.refusal import Refusal


class AdmissionRequest(NamedTuple):
    """Asks whether an operation may start, and for its route and workspace.

    Parameters
    ----------
    database : str
        Database that the caller named.
    key : str
        The caller's key.
    counts_against_rate : bool
        Whether the operation counts against the workspace's rate.
    reply_to : trio.MemorySendChannel
        Receives the reply.
    """

    database: str
    key: str
    counts_against_rate: bool
    reply_to: MemorySendChannel[OperationAdmitted | Refusal]
