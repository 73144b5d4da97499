"""Error returned in place of an answer."""

from typing import NamedTuple

from jackdawspread.messages.execution_status import ExecutionStatus


class Refusal(NamedTuple):
    """Refusal of a request, with the information that a caller needs to react.

    Parameters
    ----------
    code : str
        Machine-readable reason, for example ``"rate_limited"``.
    ran : ExecutionStatus
        Whether the request took effect.
    step : str
        Step at which the error arose, for example ``"admission"``.
    peer : str
        Process at which the error arose, for example an address; empty if local.
    detail : str
        Explanation for people, in one sentence.
    retry_after_ms : int
        Milliseconds after which a retry may succeed; 0 if unknown.
    """

    code: str
    ran: ExecutionStatus
    step: str
    peer: str
    detail: str
    retry_after_ms: int = 0
