"""Call that carries out an operation."""

from typing import NamedTuple

from jackdawspread.messages.statement import Statement


class PreparedCall(NamedTuple):
    """Statements of an operation and how its answer is judged.

    Parameters
    ----------
    statements : tuple of Statement
        One statement of a read, or the transaction of a write.
    writes : bool
        Whether the call is a write.
    binding : bool
        Whether the write leaves a record that must exist exactly once.
    reads_own : bool
        Whether the rows must contain every record acknowledged to the caller.
    max_staleness_ms : int or None
        Accepted age of the data.
    """

    statements: tuple[Statement, ...]
    writes: bool = False
    binding: bool = False
    reads_own: bool = False
    max_staleness_ms: int | None = None
