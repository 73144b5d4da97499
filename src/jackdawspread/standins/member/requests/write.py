"""Runs statements as one transaction under a request id."""

from typing import NamedTuple

from jackdawspread.standins.member.statement_document import StatementDocument


class Write(NamedTuple):
    """Runs statements as one transaction under a request id."""

    term: int
    workspace: str
    request_id: str
    digest: str
    statements: tuple[StatementDocument, ...]
