"""Admitted request that is routed to an owner of its database."""

from typing import NamedTuple

from jackdawspread.messages.position import Position
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.statement import Statement


class RoutedRequest(NamedTuple):
    """Request after admission, with the hash of the caller's key in place of the key.

    Parameters
    ----------
    id : str
        Unique id of this attempt, which also identifies its reply.
    kind : RequestKind
        Operation that the request asks for.
    workspace : str
        Workspace that the key belongs to.
    key_id : str
        Hash of the key; it is checked again before a statement is sent.
    database : str
        Name of the database.
    statements : tuple of Statement
        Statements to run as one transaction.
    idempotency_key : str
        Request id chosen by the caller; empty for reads.
    position : Position or None
        Position that a read must observe; None for any position.
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

    id: str
    kind: RequestKind
    workspace: str
    key_id: str
    database: str
    statements: tuple[Statement, ...]
    idempotency_key: str
    position: Position | None
    max_staleness: float | None
    deadline: float
    transaction_id: str = ""
    page_rows: int = 1000
    offset: int = 0
