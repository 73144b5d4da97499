"""Runs one statement of an interactive transaction."""

from typing import NamedTuple

from jackdawspread.standins.member.statement_document import StatementDocument


class Execute(NamedTuple):
    """Runs one statement of an interactive transaction."""

    transaction: str
    statement: StatementDocument
