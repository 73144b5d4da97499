"""Queue of requests; the type of the state selects the queueing discipline."""

from collections import deque
from functools import singledispatch
from math import inf
from typing import Any

from jackdawspread.decisions.owner.fair_queue_state import FairQueueState
from jackdawspread.decisions.owner.fifo_queue_state import FifoQueueState
from jackdawspread.decisions.owner.queued_request import QueuedRequest

RequestQueue = FairQueueState | FifoQueueState


@singledispatch
def enqueue(state: Any, item: QueuedRequest, weight: float) -> Any:
    """Return the state with the request added."""
    raise TypeError(f"no queue discipline for {type(state).__name__}")


@singledispatch
def queue_heads(state: Any) -> list[QueuedRequest]:
    """Return the first request of each sub-queue, in order of preference."""
    raise TypeError(f"no queue discipline for {type(state).__name__}")


@singledispatch
def remove_head(state: Any, item: QueuedRequest) -> Any:
    """Return the state without a request that `queue_heads` returned."""
    raise TypeError(f"no queue discipline for {type(state).__name__}")


@singledispatch
def remove_expired(state: Any, now: float) -> list[QueuedRequest]:
    """Remove and return the requests whose queue deadline has passed."""
    raise TypeError(f"no queue discipline for {type(state).__name__}")


def queue_size(state: RequestQueue, workspace: str) -> int:
    """Return how many requests of a workspace are queued."""
    return state.size_by_workspace.get(workspace, 0)


def queue_total(state: RequestQueue) -> int:
    """Return how many requests are queued."""
    return sum(state.size_by_workspace.values())


@enqueue.register
def _(state: FairQueueState, item: QueuedRequest, weight: float) -> FairQueueState:
    workspace = item.request.workspace
    resource = _resource(item)
    finish = state.finish_by_flow.get((resource, workspace), 0.0)
    start = max(state.virtual_time_by_resource.get(resource, 0.0), finish)
    state.finish_by_flow[(resource, workspace)] = start + 1.0 / weight
    flow = (workspace, item.lane)
    waiting = state.waiting_by_workspace_and_lane.setdefault(flow, deque())
    waiting.append(item._replace(start_tag=start))
    _count(state, workspace, 1)
    return state


@queue_heads.register
def _(state: FairQueueState) -> list[QueuedRequest]:
    first = [waiting[0] for waiting in state.waiting_by_workspace_and_lane.values()]
    # Tags of different resources are not comparable. The first request of each
    # resource has lag 0, and the resources take turns.
    least: dict[str, float] = {}
    for item in first:
        resource = _resource(item)
        least[resource] = min(item.start_tag, least.get(resource, inf))
    turns = state.turn_by_resource

    def rank(item: QueuedRequest) -> tuple[float, int]:
        resource = _resource(item)
        return item.start_tag - least[resource], turns.get(resource, 0)

    first.sort(key=rank)
    return first


@remove_head.register
def _(state: FairQueueState, item: QueuedRequest) -> FairQueueState:
    flow = (item.request.workspace, item.lane)
    waiting = state.waiting_by_workspace_and_lane[flow]
    waiting.popleft()
    if not waiting:
        del state.waiting_by_workspace_and_lane[flow]
    _count(state, item.request.workspace, -1)
    resource = _resource(item)
    virtual_time = state.virtual_time_by_resource.get(resource, 0.0)
    state.virtual_time_by_resource[resource] = max(virtual_time, item.start_tag)
    turns = state.turn_by_resource
    turns[resource] = 1 + max(turns.values(), default=0)
    return state


@remove_expired.register
def _(state: FairQueueState, now: float) -> list[QueuedRequest]:
    return _expire(state, state.waiting_by_workspace_and_lane, now)


@enqueue.register
def _(state: FifoQueueState, item: QueuedRequest, weight: float) -> FifoQueueState:
    waiting = state.waiting_by_lane.setdefault(item.lane, deque())
    waiting.append(item._replace(start_tag=float(state.arrivals)))
    _count(state, item.request.workspace, 1)
    return state._replace(arrivals=state.arrivals + 1)


@queue_heads.register
def _(state: FifoQueueState) -> list[QueuedRequest]:
    first = [waiting[0] for waiting in state.waiting_by_lane.values()]
    first.sort(key=lambda item: item.start_tag)
    return first


@remove_head.register
def _(state: FifoQueueState, item: QueuedRequest) -> FifoQueueState:
    waiting = state.waiting_by_lane[item.lane]
    waiting.popleft()
    if not waiting:
        del state.waiting_by_lane[item.lane]
    _count(state, item.request.workspace, -1)
    return state


@remove_expired.register
def _(state: FifoQueueState, now: float) -> list[QueuedRequest]:
    return _expire(state, state.waiting_by_lane, now)


def _resource(item: QueuedRequest) -> str:
    """Return the resource that a request waits for.

    With one virtual time for both resources, a burst of reads that replicas served at
    once advanced the virtual time to the end of the same workspace's queue for the
    primary. Requests of other workspaces that then arrived were queued behind it.
    """
    return "replicas" if item.lane == "any" else "primary"


def _expire(
    state: RequestQueue, waiting_by_key: dict[Any, deque[QueuedRequest]], now: float
) -> list[QueuedRequest]:
    expired = []
    for key, waiting in list(waiting_by_key.items()):
        late = [item for item in waiting if item.expires_at <= now]
        if not late:
            continue
        expired += late
        kept = deque(item for item in waiting if item.expires_at > now)
        waiting_by_key[key] = kept
        if not kept:
            del waiting_by_key[key]
    for item in expired:
        _count(state, item.request.workspace, -1)
    return expired


def _count(state: RequestQueue, workspace: str, change: int) -> None:
    size = state.size_by_workspace.get(workspace, 0) + change
    if size:
        state.size_by_workspace[workspace] = size
    else:
        del state.size_by_workspace[workspace]
