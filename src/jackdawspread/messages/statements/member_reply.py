"""Answer of a member."""

from typing import NamedTuple

from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.session_phase import SessionPhase


class MemberReply(NamedTuple):
    """Complete answer of a member to one command.

    Parameters
    ----------
    rows : tuple of str
        Rows, in the order in which the member sent them.
    signature : str
        Member's signature of a success; empty for an error.
    error : str
        Error code in lower case; empty for a success.
    detail : str
        Text that the member sent with the error code.
    phase : SessionPhase
        Transaction phase of the connection after the command.
    position : Position or None
        End of the member's log; None if the answer has none.
    sent_at : float
        Time at which the command was sent, in seconds of the boot-time clock; 0 if the
        member refused a preparing command, so that the last one was not sent.
    log_status : LogStatus or None
        State of the member's log, in answers to commands about the log.
    """

    rows: tuple[str, ...]
    signature: str
    error: str
    detail: str
    phase: SessionPhase
    position: Position | None
    sent_at: float = 0.0
    log_status: LogStatus | None = None
