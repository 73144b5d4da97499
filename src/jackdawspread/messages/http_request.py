"""HTTP request as read from a connection."""

from typing import NamedTuple


class HttpRequest(NamedTuple):
    """Method, target, lower-case headers and complete body of a request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
