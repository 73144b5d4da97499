"""State of start-time fair queueing."""

from collections import deque
from typing import NamedTuple

from jackdawspread.decisions.owner.queued_request import QueuedRequest


class FairQueueState(NamedTuple):
    """Virtual times and waiting requests of a weighted fair queue.

    A resource is what requests wait for: ``"primary"`` or ``"replicas"``. A lane is a
    sub-queue of requests that need the same kind of member.

    Parameters
    ----------
    virtual_time_by_resource : dict of str to float
        Start tag of the last request sent, by resource.
    finish_by_flow : dict of (str, str) to float
        Finish tag of the last queued request, by resource and workspace.
    turn_by_resource : dict of str to int
        Number of the last round-robin turn of each resource.
    size_by_workspace : dict of str to int
        Number of waiting requests by workspace.
    waiting_by_workspace_and_lane : dict of (str, str) to deque of QueuedRequest
        Waiting requests by workspace and lane.
    """

    virtual_time_by_resource: dict[str, float]
    finish_by_flow: dict[tuple[str, str], float]
    turn_by_resource: dict[str, int]
    size_by_workspace: dict[str, int]
    waiting_by_workspace_and_lane: dict[tuple[str, str], deque[QueuedRequest]]


def empty_fair_queue() -> FairQueueState:
    """Return a queue without requests."""
    return FairQueueState({}, {}, {}, {}, {})
