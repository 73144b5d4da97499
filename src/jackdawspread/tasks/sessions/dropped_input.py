"""Input of a caller that arrives while its session is closed."""

from jackdawspread.messages.statements.malformed_statement import MalformedStatement
from jackdawspread.messages.statements.session_request import SessionRequest
from jackdawspread.tasks.sessions.session_codec import SessionCodec

# A closed session is given no more memory and time than these.
MAX_DECODED_BYTES = 64 * 1024
MAX_IDS = 100
# Callers choose the ids.
MAX_ID_LENGTH = 64
MALFORMED_ID = "malformed"


class DroppedInput:
    """Counts the bytes that a session drops and finds the requests in them.

    `SessionEnding` creates one when it begins to close the connection.

    Parameters
    ----------
    codec : SessionCodec
        Codec of the session, which holds the bytes that were received before.
    """

    def __init__(self, codec: SessionCodec) -> None:
        self._codec = codec
        self._later_bytes = 0
        self._held_bytes = codec.held_bytes

    @property
    def size(self) -> int:
        """Number of dropped bytes."""
        return self._held_bytes + self._later_bytes

    def receive(self, data: bytes) -> None:
        """Add bytes read from the socket."""
        self._later_bytes += len(data)
        if self._later_bytes <= MAX_DECODED_BYTES:
            self._codec.receive(data)

    def request_ids(self) -> tuple[str, ...]:
        """Decode the complete requests and return their ids, the first 100 at most.

        A second call does not return them again.

        The text of a malformed request may contain a key, so its id is not used.
        """
        ids: list[str] = []
        try:
            while len(ids) < MAX_IDS:
                message = self._codec.next_message()
                if not isinstance(message, SessionRequest):
                    break
                is_malformed = isinstance(message.statement, MalformedStatement)
                ids.append(MALFORMED_ID if is_malformed else message.id[:MAX_ID_LENGTH])
        except ValueError:
            # What follows an invalid message can't be decoded.
            return tuple(ids)
        return tuple(ids)
