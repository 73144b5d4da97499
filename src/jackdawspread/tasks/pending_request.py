"""Request between its admission and its reply."""

from typing import NamedTuple

from jackdawspread.messages.caller_submission import CallerSubmission
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.messages.session import Session


class PendingRequest(NamedTuple):
    """Request that the gateway has not replied to yet.

    Parameters
    ----------
    submission : CallerSubmission
        The caller's request and the channel for its reply.
    session : Session
        Session of the caller.
    request : RoutedRequest
        The request as sent in the current attempt.
    attempt : int
        Number of earlier attempts.
    peer_address : str
        Instance that runs the attempt; empty before routing.
    admitted_at : float
        Monotonic time in seconds of the admission.
    may_have_run : bool
        Whether an earlier attempt may have taken effect.
    """

    submission: CallerSubmission
    session: Session
    request: RoutedRequest
    attempt: int
    peer_address: str
    admitted_at: float
    may_have_run: bool = False
