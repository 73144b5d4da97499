"""Outcome of a call over an HTTP client connection."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class HttpOutcome(NamedTuple):
    """Response to a call, or the reason why none arrived.

    Parameters
    ----------
    id : int
        Id of the call.
    connection : int
        Id of the connection that made it.
    status : int
        HTTP status; 0 if no response arrived.
    body : dict
        Decoded JSON body; empty if no response arrived.
    sent : bool
        Whether any byte of the call may have reached the server.
    error : str
        Reason why no response arrived; empty if one did.
    headers : mapping
        Headers of the response by name in lower case.
    received_bytes : int
        Number of bytes of the response that arrived, also of an incomplete one.
    began_at : float
        Boot-time clock in seconds when the first byte arrived; 0 if none did.
    """

    id: int
    connection: int
    status: int
    body: dict[str, Any]
    sent: bool
    error: str = ""
    headers: Mapping[str, str] = NO_HEADERS
    received_bytes: int = 0
    began_at: float = 0.0
