"""JSON body of a write."""

from typing import TypedDict

from jackdawspread.codecs.statement_body import StatementBody


class WriteBody(TypedDict):
    """Statements of a write, which run as one transaction."""

    statements: list[StatementBody]
