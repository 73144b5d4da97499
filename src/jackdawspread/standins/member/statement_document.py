"""SQL statement as it appears in request bodies."""

from typing import NotRequired, TypedDict

from jackdawspread.messages.statement import Scalar


class StatementDocument(TypedDict):
    """SQL text with optional positional parameters."""

    sql: str
    parameters: NotRequired[list[Scalar]]
