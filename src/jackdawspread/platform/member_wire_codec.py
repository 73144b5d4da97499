"""Wire protocol towards members."""

from collections import deque

from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.position import Position
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

OWN_ID = "-"
NO_WORKSPACE = "-"
LOG_ORDERS = (QueryStatus, PauseReplication, ResumeReplication)


class MemberWireCodec:
    """Encodes commands for a member and decodes its replies."""

    def __init__(self) -> None:
        self._lines = LineBuffer()
        self._rows: list[str] = []
        self._proof = ""
        self._error = ""
        self._detail = ""
        # Whether each outstanding command is answered with the state of the log.
        self._log_orders: deque[bool] = deque()

    def encode_handshake(self, group: str, workspace: str, member: str) -> bytes:
        """Encode the first message of a connection."""
        return encode_line("START", group, workspace or NO_WORKSPACE, member)

    def encode_command(self, command: MemberCommand) -> bytes:
        """Encode one command."""
        text = format_statement(command.statement)
        if command.required_position is not None:
            text = f"AFTER {format_position(command.required_position)} {text}"
        self._log_orders.append(isinstance(command.statement, LOG_ORDERS))
        return encode_line("QUERY", command.id or OWN_ID, text)

    def receive(self, data: bytes) -> None:
        """Add bytes read from the socket."""
        self._lines.receive(data)

    def next_handshake_reply(self) -> MemberReply | None:
        """Return the reply to the first message, None if bytes are missing."""
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
        """Return the next whole reply, None if bytes are missing."""
        while (line := self._lines.next_line()) is not None:
            word, _, rest = line.partition(" ")
            if word == "READY":
                return self._finish(rest)
            if self._proof or self._error:
                raise ValueError(f"unexpected {word[:20]!r} after a result")
            if word == "ROW":
                self._rows.append(rest)
            elif word == "DONE" and rest:
                self._proof = rest
            elif word == "ERR":
                code, _, self._detail = rest.partition(" ")
                self._error = code.lower() or "failed"
            else:
                raise ValueError(f"unexpected {word[:20]!r} in a reply")
        return None

    def _finish(self, rest: str) -> MemberReply:
        letter, _, position = rest.partition(" ")
        if not (self._proof or self._error) or letter not in PHASE_BY_LETTER:
            raise ValueError("READY without a result or with an unknown state")
        rows = tuple(self._rows)
        log_status = None
        if self._log_orders.popleft() and rows and not self._error:
            log_status = _parse_log_status(rows[0])
        reply = MemberReply(
            rows,
            self._proof,
            self._error,
            self._detail,
            PHASE_BY_LETTER[letter],
            parse_position(position),
            log_status=log_status,
        )
        self._rows, self._proof, self._error, self._detail = [], "", "", ""
        return reply


def _parse_log_status(row: str) -> LogStatus:
    """Decode the role, the term, the received position and the pause of a row."""
    role, term, received, held, *_ = row.split(" ")
    position = parse_position(received) or Position(0, 0)
    # "Term held" is the term of the pause that the member obeys.
    return LogStatus("", role == "primary", int(term), position, int(held))
