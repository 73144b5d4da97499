"""Request that waits for a token of another instance."""

from typing import NamedTuple

from jackdawspread.messages.fleet.admission_request import AdmissionRequest
from jackdawspread.messages.fleet.cold_token_request import ColdTokenRequest


class PendingToken(NamedTuple):
    """Request that has asked the holders of rate leases for a token.

    Parameters
    ----------
    request : AdmissionRequest or ColdTokenRequest
        Request of the operation or statement.
    workspace : str
        Workspace whose rate it counts against, or the bucket of a cold member.
    asked : tuple of str
        Holders that were asked, in their order. The last one has not replied yet.
    reply_by : float
        Monotonic time in seconds until which the last one may reply.
    wait_s : float
        Shortest time in seconds until a holder has the next token.
    priority : int
        Priority by which the holders give out tokens.
    """

    request: AdmissionRequest | ColdTokenRequest
    workspace: str
    asked: tuple[str, ...]
    reply_by: float
    wait_s: float
    priority: int = 0
