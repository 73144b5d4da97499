"""Facts about the end of a caller's session, for its log line."""

from typing import NamedTuple


class SessionEnd(NamedTuple):
    """How a session ended, for its log line.

    Parameters
    ----------
    reason : str
        Why it ended, in a few words.
    database : str
        Database of the session; empty before its handshake.
    error : str
        Name of the socket's error; empty if there was none.
    request_id : str
        Request that was not answered, or whose answer was not written; empty if there
        was none.
    in_transaction : bool
        Whether a transaction was open.
    idle_s : float
        Seconds since the last answer was written.
    dropped_bytes : int
        Bytes of the caller that were received and not handled.
    dropped_ids : tuple of str
        Ids of the complete requests among them.
    """

    reason: str
    database: str
    error: str
    request_id: str
    in_transaction: bool
    idle_s: float
    dropped_bytes: int
    dropped_ids: tuple[str, ...]
