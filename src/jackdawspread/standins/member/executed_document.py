"""Record of executed statements."""

from typing import TypedDict

from jackdawspread.standins.member.statement_document import StatementDocument


class ExecutedDocument(TypedDict):
    """Statements that ran, for whom, in which term, and with which outcome."""

    kind: str
    connection: int
    instance: str
    term: int
    workspace: str
    request_id: str
    transaction: str
    statements: list[StatementDocument]
    outcome: str
