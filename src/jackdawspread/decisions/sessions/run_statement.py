"""Plan for a statement that is run by a member."""

from typing import NamedTuple

from jackdawspread.messages.statements.session_statement import SessionStatement


class RunStatement(NamedTuple):
    """Runs a read or a write, in the open transaction if there is one.

    Parameters
    ----------
    statement : SessionStatement
        The statement; a prepared one carries its name on member connections.
    writes : bool
        Whether the statement writes.
    """

    statement: SessionStatement
    writes: bool
