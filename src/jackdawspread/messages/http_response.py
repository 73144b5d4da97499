"""HTTP response to be written to a connection."""

from typing import NamedTuple


class HttpResponse(NamedTuple):
    """Status, headers and whole body of a response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
