"""Signed session tokens."""

from expression import Error, Ok, Result
from itsdangerous import BadData, URLSafeSerializer
from msgspec import ValidationError, convert

from jackdawspread.messages.position import Position
from jackdawspread.messages.session import Session

MAX_TOKEN_LENGTH = 8_192


class SessionTokenCodec:
    """Signs sessions and checks tokens with the fleet's secret.

    Parameters
    ----------
    secret : str
        Secret shared by all instances.
    """

    def __init__(self, secret: str) -> None:
        self._serializer = URLSafeSerializer(secret, salt="jackdawspread.session")

    def encode(self, session: Session) -> str:
        """Return a signed token."""
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
            return Error("Session-Token is not one that this system issued")
        return Ok(Session(workspace, positions))
