"""Answer of a member."""

from typing import NamedTuple

from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.session_phase import SessionPhase


class MemberReply(NamedTuple):
    """Whole answer of a member to one command.

    Parameters
    ----------
    rows : tuple of str
        Rows, in the order in which the member sent them.
    signature : str
        Signature of a success; empty for an error.
    error : str
        Error code in lower case; empty for a success.
    detail : str
        Text behind the error code.
    phase : SessionPhase
        Phase of the member connection afterwards.
    position : Position or None
        End of the member's log.
    sent_at : float
        Time in seconds, counting suspension, at which the command was sent.
    log_status : LogStatus or None
        State of the log, for a question or order about it.
    """

    rows: tuple[str, ...]
    signature: str
    error: str
    detail: str
    phase: SessionPhase
    position: Position | None
    sent_at: float = 0.0
    log_status: LogStatus | None = None
