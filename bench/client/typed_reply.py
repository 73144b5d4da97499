"""Reply to a caller's request."""

from typing import Any, NamedTuple


class TypedReply(NamedTuple):
    """What a caller knows of a request after its reply, or after none arrived.

    Parameters
    ----------
    request_id : str
        Idempotency key, empty for a request without one.
    entry : str
        Name of the entry instance that was called.
    status : int
        HTTP status; 0 if no response arrived.
    code, ran : str
        Of the refusal; empty for an answer.
    body : dict
        Decoded response.
    token : str
        Session token of the response.
    sent_at, answered_at : float
        Monotonic seconds before the call and after its reply.
    error : str
        Why no response arrived.
    """

    request_id: str
    entry: str
    status: int
    code: str
    ran: str
    body: dict[str, Any]
    token: str
    sent_at: float
    answered_at: float
    error: str = ""
