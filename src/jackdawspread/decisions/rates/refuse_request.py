"""Effect: refuse a request."""

from typing import NamedTuple


class RefuseRequest(NamedTuple):
    """Refuses a request because its workspace exceeds its rate."""

    id: str
