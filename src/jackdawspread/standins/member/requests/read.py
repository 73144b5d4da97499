"""Runs one read-only statement; with term 0, on a member of any role."""

from typing import NamedTuple

from jackdawspread.messages.position import Position
from jackdawspread.standins.member.statement_document import StatementDocument


class Read(NamedTuple):
    """Runs one read-only statement; with term 0, on a member of any role."""

    statement: StatementDocument
    term: int = 0
    position: Position | None = None
    wait_ms: int = 0
    offset: int = 0
    page_rows: int = 1000
