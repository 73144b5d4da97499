"""Typed error returned in place of an answer."""

from typing import NamedTuple

from jackdawspread.messages.execution_status import ExecutionStatus


class Refusal(NamedTuple):
    """Error that a caller can act on.

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
        One sentence that says what to fix.
    retry_after_ms : int
        Milliseconds after which a retry may succeed; 0 if unknown.
    """

    code: str
    ran: ExecutionStatus
    step: str
    peer: str
    detail: str
    retry_after_ms: int = 0
