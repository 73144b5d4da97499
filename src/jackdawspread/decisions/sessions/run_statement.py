"""Plan for a statement that a member runs."""

from typing import NamedTuple

from jackdawspread.messages.statements.session_statement import SessionStatement


class RunStatement(NamedTuple):
    """Runs a read or a write, alone or inside the open transaction.

    Parameters
    ----------
    statement : SessionStatement
        The statement, with the name under which members know a prepared shape.
    writes : bool
        Whether it writes.
    """

    statement: SessionStatement
    writes: bool
