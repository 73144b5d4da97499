"""Queue of the single statements that wait for a member.

A member that has more statements than slots answers all of them later, and refuses
those above its own queue after their connections were opened. So an instance sends a
member only a few statements for each slot. The others wait here, where the fair order
between workspaces applies, and a statement that would wait for too long is refused at
once.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from jackdawspread.messages.fleet.connection_request import ConnectionRequest

# Statements that an instance has in progress at a member for each of its slots. With
# one the slot would be idle during the round trip.
STATEMENTS_PER_SLOT = 2
# Weight of the newest statement in the mean duration.
DURATION_WEIGHT = 0.1
INITIAL_DURATION_S = 0.02


class StatementQueue(NamedTuple):
    """Single statements in progress at a member.

    Parameters
    ----------
    started_at_by_lease : dict
        Monotonic time in seconds at which each of them got its connection.
    duration_s : float
        Moving average of the time in seconds for which they keep it.
    """

    started_at_by_lease: dict[int, float] = {}
    duration_s: float = INITIAL_DURATION_S


def start_statement(queue: StatementQueue, lease: int, now: float) -> StatementQueue:
    """Return the queue after a statement has got its connection."""
    return queue._replace(started_at_by_lease={**queue.started_at_by_lease, lease: now})


def end_statement(queue: StatementQueue, lease: int, now: float) -> StatementQueue:
    """Return the queue after a connection was returned, by a statement or not."""
    started_at = queue.started_at_by_lease.get(lease)
    if started_at is None:
        return queue
    rest = {id: at for id, at in queue.started_at_by_lease.items() if id != lease}
    change_s = DURATION_WEIGHT * (now - started_at - queue.duration_s)
    return StatementQueue(rest, queue.duration_s + change_s)


def statement_limit(slots: int) -> int:
    """Return how many single statements may be in progress at a member."""
    return STATEMENTS_PER_SLOT * max(1, slots)


def expected_wait_s(
    queue: StatementQueue,
    slots: int,
    request: ConnectionRequest,
    waiting: Iterable[ConnectionRequest],
    in_use_by_workspace: Mapping[str, int],
) -> float:
    """Return the time in seconds until a new statement gets its connection.

    Only those that are served before it count: the ones of workspaces that use no more
    connections than its own.
    """
    limit = statement_limit(slots)
    in_use = in_use_by_workspace.get(request.workspace, 0)
    ahead = sum(
        other.is_single_statement
        and in_use_by_workspace.get(other.workspace, 0) <= in_use
        for other in waiting
    )
    free = limit - len(queue.started_at_by_lease)
    return max(0, ahead + 1 - free) * queue.duration_s / limit
