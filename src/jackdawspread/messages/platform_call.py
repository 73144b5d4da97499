"""Call to the platform's table service."""

from typing import NamedTuple


class PlatformCall(NamedTuple):
    """JSON call of the table service's protocol."""

    id: int
    target: str
    body: dict[str, object]
