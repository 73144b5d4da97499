"""State of a caller's session."""

from typing import NamedTuple

from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.session_phase import SessionPhase


class SessionState(NamedTuple):
    """What a session holds apart from its connections.

    Parameters
    ----------
    phase : SessionPhase
        Phase of the transaction.
    read_only : bool
        Whether the open transaction only reads.
    wrote : bool
        Whether a write of the open transaction was sent to a member.
    value_by_name : dict
        Session values that were acknowledged to the caller.
    template_by_name : dict
        Prepared names: whether the shape writes, and the shape.
    position : Position or None
        Newest commit of the session.
    """

    phase: SessionPhase = SessionPhase.IDLE
    read_only: bool = False
    wrote: bool = False
    value_by_name: dict[str, str] = {}
    template_by_name: dict[str, tuple[bool, str]] = {}
    position: Position | None = None
