"""Interface of the protocol between callers and the proxy."""

from typing import Protocol

from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.close_session import CloseSession
from jackdawspread.messages.statements.open_session import OpenSession
from jackdawspread.messages.statements.session_answer import SessionAnswer
from jackdawspread.messages.statements.session_phase import SessionPhase
from jackdawspread.messages.statements.session_request import SessionRequest


class SessionCodec(Protocol):
    """Decodes the messages of one caller and encodes the answers.

    Methods that decode raise ``ValueError`` if a message is invalid and the session
    has to be closed.
    """

    @property
    def has_partial_message(self) -> bool:
        """Whether the first bytes of another message have arrived."""

    @property
    def held_bytes(self) -> int:
        """Number of received bytes that no returned message contains."""

    def receive(self, data: bytes) -> None:
        """Add bytes read from the socket."""

    def next_handshake(self) -> OpenSession | None:
        """Return the first message, None if it is incomplete."""

    def next_message(self) -> SessionRequest | CloseSession | None:
        """Return the next message, None if it is incomplete."""

    def encode_handshake_reply(self, refusal: Refusal | None) -> bytes:
        """Encode the answer to the first message."""

    def encode_answer(self, answer: SessionAnswer) -> bytes:
        """Encode the answer to a request."""

    def encode_closing_notice(self, notice: Refusal) -> bytes:
        """Encode what tells an idle caller to close its session.

        A caller that has sent a request meanwhile takes it for the refusal of this
        request, which `encode_answer_end` completes.
        """

    def encode_answer_end(self, phase: SessionPhase) -> bytes:
        """Encode what completes the answer that a closing notice has begun."""
