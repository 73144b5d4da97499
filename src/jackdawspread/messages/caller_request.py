"""Caller's request as decoded from its protocol."""

from typing import NamedTuple

from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.statement import Statement


class CallerRequest(NamedTuple):
    """Request of a caller before admission, with its credentials.

    A binding write is a write with an idempotency key. It is acknowledged only after
    a second member has it.

    Parameters
    ----------
    kind : RequestKind
        Operation that the request asks for.
    key : str
        Secret key of the caller; never leaves the gateway.
    database : str
        Name of the database; empty for a request that names a transaction.
    statements : tuple of Statement
        Statements to run as one transaction.
    idempotency_key : str
        Request id chosen by the caller; required for binding requests.
    session_token : str
        Signed session token; empty for a new session.
    max_staleness : float or None
        Accepted age of the data in seconds; None for current data.
    deadline : float
        Monotonic time in seconds after which the caller ignores the answer.
    transaction_id : str
        Interactive transaction to continue; empty if none.
    page_rows : int
        Largest number of rows in one page.
    offset : int
        Row at which the page starts.
    """

    kind: RequestKind
    key: str
    database: str
    statements: tuple[Statement, ...]
    idempotency_key: str
    session_token: str
    max_staleness: float | None
    deadline: float
    transaction_id: str = ""
    page_rows: int = 1000
    offset: int = 0
