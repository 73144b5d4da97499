"""Open interactive transaction."""

from typing import NamedTuple

from jackdawspread.standins.member.result_document import ResultDocument
from jackdawspread.standins.member.statement_document import StatementDocument


class Transaction(NamedTuple):
    """Statements run so far with their results.

    The statements run again at commit and must give the same results.
    """

    id: str
    connection: int
    term: int
    workspace: str
    statements: list[StatementDocument]
    results: list[ResultDocument]
