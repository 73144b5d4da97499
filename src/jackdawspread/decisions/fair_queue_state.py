"""State of start-time fair queueing."""

from collections import deque
from typing import NamedTuple

from jackdawspread.decisions.queued_request import QueuedRequest


class FairQueueState(NamedTuple):
    """Virtual time and the waiting requests by (workspace, lane)."""

    virtual_time: float
    finish_by_workspace: dict[str, float]
    size_by_workspace: dict[str, int]
    waiting_by_flow: dict[tuple[str, str], deque[QueuedRequest]]


def empty_fair_queue() -> FairQueueState:
    """Return a queue without requests."""
    return FairQueueState(0.0, {}, {}, {})
