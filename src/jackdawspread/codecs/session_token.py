"""Signed session tokens."""

from expression import Error, Ok, Result
from itsdangerous import BadData, URLSafeSerializer
from msgspec import ValidationError, convert

from jackdawspread.messages.position import Position
from jackdawspread.messages.session import Session

MAX_TOKEN_LENGTH = 8_192


class SessionTokenCodec:
    """Encodes sessions as signed tokens, and verifies and decodes tokens.

    Parameters
    ----------
    secret : str
        Secret shared by all instances.
    """

    def __init__(self, secret: str) -> None:
        self._serializer = URLSafeSerializer(secret, salt="jackdawspread.session")

    def encode(self, session: Session) -> str:
        """Return the signed token of a session."""
        return str(
            self._serializer.dumps([session.workspace, session.position_by_database])
        )

    def decode(self, token: str) -> Result[Session, str]:
        """Return the session of a token whose signature is valid."""
        if len(token) > MAX_TOKEN_LENGTH:
            return Error("Session-Token is too long")
        try:
            workspace, positions = convert(
                self._serializer.loads(token), tuple[str, dict[str, Position]]
            )
        except (BadData, ValidationError, ValueError):
            return Error("Session-Token was not issued by this system")
        return Ok(Session(workspace, positions))
