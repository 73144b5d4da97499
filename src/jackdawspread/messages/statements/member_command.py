"""Command to a member."""

from typing import NamedTuple

from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.member_statement import MemberStatement


class MemberCommand(NamedTuple):
    """Statement that is sent to a member.

    Parameters
    ----------
    id : str
        Id of the caller's request; empty for a statement that the proxy adds.
    statement : MemberStatement
        Statement that the member runs.
    required_position : Position or None
        Log position that the member must have reached; else it refuses the
        statement. None if any position will do.
    """

    id: str
    statement: MemberStatement
    required_position: Position | None = None
