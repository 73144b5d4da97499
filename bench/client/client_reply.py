"""Reply to a call of the bench."""

from typing import NamedTuple


class ClientReply(NamedTuple):
    """HTTP response, or the reason why none arrived.

    Parameters
    ----------
    status : int
        HTTP status; 0 if no response arrived.
    headers : dict of str to str
        Headers with lower-case names.
    body : bytes
        Body of the response.
    sent : bool
        Whether any byte of the call may have reached the other end.
    error : str
        Why no response arrived; empty if one did.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    sent: bool
    error: str = ""
