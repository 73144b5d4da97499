"""Runs one reading statement; term 0 accepts any role."""

from typing import NamedTuple

from jackdawspread.messages.position import Position
from jackdawspread.standins.member.statement_document import StatementDocument


class Read(NamedTuple):
    """Runs one reading statement; term 0 accepts any role."""

    statement: StatementDocument
    term: int = 0
    position: Position | None = None
    wait_ms: int = 0
    offset: int = 0
    page_rows: int = 1000
