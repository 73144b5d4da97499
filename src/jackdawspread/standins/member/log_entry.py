"""Entry of the replicated log."""

from typing import NamedTuple

from jackdawspread.messages.position import Position
from jackdawspread.standins.member.result_document import ResultDocument
from jackdawspread.standins.member.statement_document import StatementDocument


class LogEntry(NamedTuple):
    """Committed transaction, or the start of a term if there are no statements.

    The results are replicated with the entry, so that every later primary gives a
    retry of the request id the same answer.
    """

    position: Position
    workspace: str
    request_id: str
    digest: str
    statements: tuple[StatementDocument, ...]
    results: tuple[ResultDocument, ...]
