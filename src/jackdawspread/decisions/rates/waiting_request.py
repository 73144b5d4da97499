"""Request that waits for a token."""

from typing import NamedTuple


class WaitingRequest(NamedTuple):
    """Waiting request; it is refused at ``deadline``, a monotonic time in seconds."""

    id: str
    deadline: float
