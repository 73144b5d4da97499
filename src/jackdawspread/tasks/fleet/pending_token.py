"""Operation that waits for a token of another instance."""

from typing import NamedTuple

from jackdawspread.messages.fleet.admission_request import AdmissionRequest


class PendingToken(NamedTuple):
    """Operation that has asked the holders of rate leases for a token.

    Parameters
    ----------
    request : AdmissionRequest
        Request of the operation.
    workspace : str
        Workspace whose rate the operation counts against.
    asked : tuple of str
        Holders that were asked, in their order. The last one has not replied yet.
    reply_by : float
        Monotonic time in seconds until which the last one may reply.
    wait_s : float
        Shortest time in seconds until a holder has the next token.
    """

    request: AdmissionRequest
    workspace: str
    asked: tuple[str, ...]
    reply_by: float
    wait_s: float
