"""Entry of the replicated log."""

from typing import NamedTuple

from jackdawspread.messages.position import Position
from jackdawspread.standins.member.result_document import ResultDocument
from jackdawspread.standins.member.statement_document import StatementDocument


class LogEntry(NamedTuple):
    """Committed transaction, or the start of a term if it has no statements.

    The results travel with the entry, so a repeat of the request id gets the same
    answer from every later primary.
    """

    position: Position
    workspace: str
    request_id: str
    digest: str
    statements: tuple[StatementDocument, ...]
    results: tuple[ResultDocument, ...]
