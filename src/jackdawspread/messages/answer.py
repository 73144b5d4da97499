"""Successful answer to a request."""

from typing import NamedTuple

from jackdawspread.messages.position import Position
from jackdawspread.messages.statement_result import StatementResult


class Answer(NamedTuple):
    """Complete answer to one request.

    Parameters
    ----------
    results : tuple of StatementResult
        One result for each statement.
    position : Position or None
        Log position that the caller's session now depends on. At least two members
        have it in their logs.
    served_by : str
        Name of the member that executed the request.
    role : str
        Role of that member, ``"primary"`` or ``"replica"``.
    replayed : bool
        True if a recorded result of the same request id was returned.
    more : bool
        True if rows remain after this page.
    transaction_id : str
        Id of the interactive transaction that a begin opened.
    found : bool
        For an outcome request, whether the request with that id was executed.
    """

    results: tuple[StatementResult, ...] = ()
    position: Position | None = None
    served_by: str = ""
    role: str = ""
    replayed: bool = False
    more: bool = False
    transaction_id: str = ""
    found: bool = True
