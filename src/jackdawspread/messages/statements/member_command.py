"""Statement to be run by a member."""

from typing import NamedTuple

from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.member_statement import MemberStatement


class MemberCommand(NamedTuple):
    """Statement for a member connection.

    Parameters
    ----------
    id : str
        Id of the caller's request; empty for a statement of the proxy itself.
    statement : MemberStatement
        What to run.
    required_position : Position or None
        Position that the member's log must hold, else it refuses.
    """

    id: str
    statement: MemberStatement
    required_position: Position | None = None
