"""Statement of a caller with its id."""

from typing import NamedTuple

from jackdawspread.messages.statements.session_statement import SessionStatement


class SessionRequest(NamedTuple):
    """Statement with the request id that the caller chose."""

    id: str
    statement: SessionStatement
