"""Result of one SQL statement."""

from typing import NamedTuple

from jackdawspread.messages.statement import Scalar


class StatementResult(NamedTuple):
    """Rows that a statement returned, or the number of rows it changed."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Scalar, ...], ...] = ()
    changes: int = 0
