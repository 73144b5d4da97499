"""JSON of a write."""

from typing import TypedDict

from jackdawspread.codecs.statement_body import StatementBody


class WriteBody(TypedDict):
    """Statements that run as one transaction."""

    statements: list[StatementBody]
