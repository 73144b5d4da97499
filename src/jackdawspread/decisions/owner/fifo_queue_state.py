"""State of the first-in-first-out queue."""

from collections import deque
from typing import NamedTuple

from jackdawspread.decisions.owner.queued_request import QueuedRequest


class FifoQueueState(NamedTuple):
    """Waiting requests by lane; the baseline that fair queueing is compared with.

    Parameters
    ----------
    arrivals : int
        Number of requests queued so far.
    size_by_workspace : dict of str to int
        Number of waiting requests by workspace.
    waiting_by_lane : dict of str to deque of QueuedRequest
        Waiting requests by lane.
    """

    arrivals: int
    size_by_workspace: dict[str, int]
    waiting_by_lane: dict[str, deque[QueuedRequest]]


def empty_fifo_queue() -> FifoQueueState:
    """Return a queue without requests."""
    return FifoQueueState(0, {}, {})
