"""Request that waits for its workspace's rate."""

from typing import NamedTuple


class WaitingRequest(NamedTuple):
    """Id of a request and the monotonic time in seconds at which it is refused."""

    id: str
    deadline: float
