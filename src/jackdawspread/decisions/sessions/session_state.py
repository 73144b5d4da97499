"""State of a caller's session."""

from typing import NamedTuple

from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.session_phase import SessionPhase


class SessionState(NamedTuple):
    """State of a session, without its connections.

    Parameters
    ----------
    phase : SessionPhase
        Whether a transaction is open, and whether it has failed.
    read_only : bool
        Whether the open transaction only reads.
    has_written : bool
        Whether a write of the open transaction has run at a member.
    value_by_name : dict
        Session values that were acknowledged to the caller.
    template_by_name : dict
        Prepared statements by name: whether the template writes, and the template.
    position : Position or None
        Log position of the newest commit of the session; None before the first.
    """

    phase: SessionPhase = SessionPhase.IDLE
    read_only: bool = False
    has_written: bool = False
    value_by_name: dict[str, str] = {}
    template_by_name: dict[str, tuple[bool, str]] = {}
    position: Position | None = None
