"""HTTP response to write to a connection."""

from typing import NamedTuple


class HttpResponse(NamedTuple):
    """Status, headers and complete body of a response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
