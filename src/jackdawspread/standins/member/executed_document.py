"""Record of executed statements as it appears in answers."""

from typing import TypedDict

from jackdawspread.standins.member.statement_document import StatementDocument


class ExecutedDocument(TypedDict):
    """Executed statements with their caller, term and outcome."""

    kind: str
    connection: int
    instance: str
    term: int
    workspace: str
    request_id: str
    transaction: str
    statements: list[StatementDocument]
    outcome: str
