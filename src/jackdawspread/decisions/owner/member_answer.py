"""Answer of a member to a statement."""

from typing import NamedTuple

from jackdawspread.messages.position import Position
from jackdawspread.messages.statement_result import StatementResult


class MemberAnswer(NamedTuple):
    """Decoded answer; fields that the call does not return keep their defaults."""

    results: tuple[StatementResult, ...] = ()
    position: Position | None = None
    more: bool = False
    is_replayed: bool = False
    is_found: bool = True
    transaction: str = ""
