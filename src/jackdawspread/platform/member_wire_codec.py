"""Wire protocol between the proxy and members."""

from collections import deque

from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.demote_primary import DemotePrimary
from jackdawspread.messages.statements.member_command import MemberCommand
from jackdawspread.messages.statements.member_reply import MemberReply
from jackdawspread.messages.statements.pause_replication import PauseReplication
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.messages.statements.resume_replication import ResumeReplication
from jackdawspread.messages.statements.session_phase import SessionPhase
from jackdawspread.platform.line_buffer import LineBuffer, encode_line
from jackdawspread.platform.positions import (
    PHASE_BY_LETTER,
    format_position,
    parse_position,
)
from jackdawspread.platform.statement_texts import format_statement

# Id of a statement of the proxy itself.
NO_ID = "-"
NO_WORKSPACE = "-"
LOG_STATEMENTS = (QueryStatus, PauseReplication, ResumeReplication, DemotePrimary)


class MemberWireCodec:
    """Encodes commands for a member and decodes its replies."""

    def __init__(self) -> None:
        self._lines = LineBuffer()
        self._rows: list[str] = []
        self._signature = ""
        self._error = ""
        self._detail = ""
        # Whether the reply to each outstanding command contains a log status.
        self._expects_log_status: deque[bool] = deque()

    def encode_handshake(self, group: str, workspace: str, member: str) -> bytes:
        """Encode the handshake of a connection."""
        return encode_line("START", group, workspace or NO_WORKSPACE, member)

    def encode_command(self, command: MemberCommand) -> bytes:
        """Encode one command."""
        text = format_statement(command.statement)
        if command.required_position is not None:
            text = f"AFTER {format_position(command.required_position)} {text}"
        self._expects_log_status.append(isinstance(command.statement, LOG_STATEMENTS))
        return encode_line("QUERY", command.id or NO_ID, text)

    def receive(self, data: bytes) -> None:
        """Add bytes read from the socket."""
        self._lines.receive(data)

    def next_handshake_reply(self) -> MemberReply | None:
        """Return the reply to the handshake, or None if more bytes are needed."""
        line = self._lines.next_line()
        if line is None:
            return None
        word, _, rest = line.partition(" ")
        if word == "ERR":
            code, _, detail = rest.partition(" ")
            return MemberReply((), "", code.lower(), detail, SessionPhase.IDLE, None)
        if word != "READY":
            raise ValueError(f"unexpected {word[:20]!r} after START")
        return MemberReply((), "", "", "", SessionPhase.IDLE, None)

    def next_reply(self) -> MemberReply | None:
        """Return the next complete reply, or None if more bytes are needed."""
        while (line := self._lines.next_line()) is not None:
            word, _, rest = line.partition(" ")
            if word == "READY":
                return self._finish_reply(rest)
            if self._signature or self._error:
                raise ValueError(f"unexpected {word[:20]!r} after a result")
            if word == "ROW":
                self._rows.append(rest)
            elif word == "DONE" and rest:
                self._signature = rest
            elif word == "ERR":
                code, _, self._detail = rest.partition(" ")
                self._error = code.lower() or "failed"
            else:
                raise ValueError(f"unexpected {word[:20]!r} in a reply")
        return None

    def _finish_reply(self, rest: str) -> MemberReply:
        letter, _, position = rest.partition(" ")
        if not (self._signature or self._error) or letter not in PHASE_BY_LETTER:
            raise ValueError("READY without a result or with an unknown phase")
        rows = tuple(self._rows)
        log_status = None
        if self._expects_log_status.popleft() and rows and not self._error:
            log_status = _parse_log_status(rows[0])
        reply = MemberReply(
            rows,
            self._signature,
            self._error,
            self._detail,
            PHASE_BY_LETTER[letter],
            parse_position(position),
            log_status=log_status,
        )
        self._rows, self._signature, self._error, self._detail = [], "", "", ""
        return reply


def _parse_log_status(row: str) -> LogStatus:
    """Decode the role, the term, the received position and the pause term of a row."""
    role, term, received, paused_term, *_ = row.split(" ")
    position = parse_position(received) or Position(0, 0)
    # The protocol calls the term for which replication is paused "term held".
    return LogStatus("", role == "primary", int(term), position, int(paused_term))
