"""Question whether an operation may start."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.refusal import Refusal


class AdmissionRequest(NamedTuple):
    """Asks for the route and workspace of an operation.

    Parameters
    ----------
    database : str
        Database that the caller named.
    key : str
        The caller's key.
    spend : bool
        Whether the operation counts against the workspace's rate.
    reply_to : trio.MemorySendChannel
        Takes the answer.
    """

    database: str
    key: str
    spend: bool
    reply_to: MemorySendChannel[OperationAdmitted | Refusal]
