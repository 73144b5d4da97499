"""State of the first-in-first-out queue."""

from collections import deque
from typing import NamedTuple

from jackdawspread.decisions.owner.queued_request import QueuedRequest


class FifoQueueState(NamedTuple):
    """Waiting requests by lane; the baseline that fair queueing is compared with."""

    arrivals: int
    size_by_workspace: dict[str, int]
    waiting_by_lane: dict[str, deque[QueuedRequest]]


def empty_fifo_queue() -> FifoQueueState:
    """Return a queue without requests."""
    return FifoQueueState(0, {}, {})
