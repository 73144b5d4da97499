"""Request to run a further statement of an open transaction."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.refusal import Refusal


class ContinuationRequest(NamedTuple):
    """Asks whether the next statement of an open transaction may run.

    Parameters
    ----------
    transaction : OperationAdmitted
        Admission of the transaction, with the version of its latest check.
    key : str
        The caller's key.
    reply_to : trio.MemorySendChannel
        Receives the admission with the version of this check, or the refusal.
    """

    transaction: OperationAdmitted
    key: str
    reply_to: MemorySendChannel[OperationAdmitted | Refusal]
