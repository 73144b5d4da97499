"""Call to the platform."""

from typing import NamedTuple


class PlatformCall(NamedTuple):
    """JSON call of the platform's protocol."""

    id: int
    target: str
    body: dict[str, object]
