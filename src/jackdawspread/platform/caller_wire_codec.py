"""Wire protocol between callers and the proxy."""

from functools import singledispatchmethod

from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.close_session import CloseSession
from jackdawspread.messages.statements.malformed_statement import MalformedStatement
from jackdawspread.messages.statements.open_session import OpenSession
from jackdawspread.messages.statements.session_answer import SessionAnswer
from jackdawspread.messages.statements.session_phase import SessionPhase
from jackdawspread.messages.statements.session_request import SessionRequest
from jackdawspread.messages.statements.statement_success import StatementSuccess
from jackdawspread.platform.line_buffer import LineBuffer, encode_line
from jackdawspread.platform.positions import LETTER_BY_PHASE, NO_POSITION
from jackdawspread.platform.statement_texts import parse_statement

# Replaces a request id or a result signature that is missing.
NO_ID = "-"
# Wire codes for the refusal codes that the wire protocol does not define.
WIRE_CODE_BY_CODE = {"unreachable": "BUSY", "overloaded": "BUSY"}


class CallerWireCodec:
    """Decodes the messages of one caller and encodes the answers to them."""

    def __init__(self) -> None:
        self._lines = LineBuffer()

    @property
    def has_partial_message(self) -> bool:
        """Whether a part of a further message has been received."""
        return self._lines.has_partial_line

    @property
    def held_bytes(self) -> int:
        """Number of received bytes that no returned message contains."""
        return self._lines.held_bytes

    def receive(self, data: bytes) -> None:
        """Add bytes read from the socket."""
        self._lines.receive(data)

    def next_handshake(self) -> OpenSession | None:
        """Return the handshake, or None if more bytes are needed.

        Raises
        ------
        ValueError
            If the first message is not a handshake.
        """
        line = self._lines.next_line()
        if line is None:
            return None
        word, _, rest = line.partition(" ")
        database, _, key = rest.partition(" ")
        if word != "START" or not database:
            raise ValueError(
                "a session must begin with START and the name of a database"
            )
        return OpenSession(database, key)

    def next_message(self) -> SessionRequest | CloseSession | None:
        """Return the next message, or None if more bytes are needed."""
        line = self._lines.next_line()
        if line is None:
            return None
        word, _, rest = line.partition(" ")
        if word == "BYE":
            return CloseSession()
        id, _, text = rest.partition(" ")
        if word != "QUERY" or not id or id == NO_ID:
            malformed = MalformedStatement(
                "a request must consist of QUERY, an id and a statement"
            )
            return SessionRequest(id or NO_ID, malformed)
        return SessionRequest(id, parse_statement(text))

    def encode_handshake_reply(self, refusal: Refusal | None) -> bytes:
        """Encode the answer to the handshake."""
        if refusal is not None:
            return _encode_error(refusal)
        return _encode_ready(SessionPhase.IDLE)

    def encode_answer(self, answer: SessionAnswer) -> bytes:
        """Encode the answer to a request."""
        return self._encode_result(answer.result) + _encode_ready(answer.phase)

    def encode_closing_notice(self, notice: Refusal) -> bytes:
        """Encode the error without the line that ends an answer."""
        return _encode_error(notice)

    def encode_answer_end(self, phase: SessionPhase) -> bytes:
        """Encode the line that ends an answer."""
        return _encode_ready(phase)

    @singledispatchmethod
    def _encode_result(self, result: object) -> bytes:
        raise TypeError(f"no encoding for {type(result).__name__}")

    @_encode_result.register
    def _(self, result: StatementSuccess) -> bytes:
        rows = b"".join(encode_line("ROW", row) for row in result.rows)
        return rows + encode_line("DONE", result.signature or NO_ID)

    @_encode_result.register
    def _(self, result: Refusal) -> bytes:
        return _encode_error(result)


def _encode_ready(phase: SessionPhase) -> bytes:
    return encode_line("READY", LETTER_BY_PHASE[phase], NO_POSITION)


def _encode_error(refusal: Refusal) -> bytes:
    code = WIRE_CODE_BY_CODE.get(refusal.code, refusal.code.upper())
    text = refusal.detail
    if refusal.retry_after_ms:
        text = f"retry-after-ms={refusal.retry_after_ms} {text}"
    return encode_line("ERR", code, text.replace("\r", " ").replace("\n", " "))
