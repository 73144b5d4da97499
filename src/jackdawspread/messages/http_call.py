"""Call over an HTTP client connection."""

from typing import Any, NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.http_outcome import HttpOutcome


class HttpCall(NamedTuple):
    """JSON call to send over one connection.

    Parameters
    ----------
    id : int
        Correlates the outcome with the call.
    method : str
        HTTP method.
    target : str
        HTTP target.
    body : dict
        JSON body; a ``GET`` carries none.
    deadline : float
        Monotonic time in seconds after which the connection is closed.
    reply_to : trio.MemorySendChannel
        Channel for the single `HttpOutcome`.
    headers : tuple of (str, str)
        Headers in addition to those of every call.
    """

    id: int
    method: str
    target: str
    body: dict[str, Any]
    deadline: float
    reply_to: MemorySendChannel[HttpOutcome]
    headers: tuple[tuple[str, str], ...] = ()
