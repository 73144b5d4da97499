"""Limit of the statements that one instance has in progress at a member.

Every instance with connections to a member changes its own limit by what the member
shows it. A longer queue at the member delays the statements of all of them, so their
limits settle at what the member runs in time, without messages between them.
"""

from math import inf
from typing import NamedTuple

# Statements in progress for each slot, over all instances that share a member. With one
# a slot would be idle during the round trip.
STATEMENTS_PER_SLOT = 2
# Instances that usually share a member: the pool hosts of its group.
SHARING_INSTANCES = 4
MIN_LIMIT = 1.0
# Weight of the newest statement in the mean durations.
DURATION_WEIGHT = 0.1
# Growth of the floor with each statement, so that it follows a member whose statements
# have become longer for good.
FLOOR_GROWTH = 0.0005
# Ratio of the mean duration to its floor below which the limit may grow, and above
# which it shrinks. Between the two the member is fully used and answers in time.
GROWTH_SLOWDOWN = 2.0
REDUCTION_SLOWDOWN = 2.5
# Greatest multiples of the mean and of the floor that one statement counts. A lost
# answer ends with the timeout of its route and says nothing about the member's queue.
MAX_DURATION_FACTOR = 2
MAX_SLOWDOWN = 4
# Factors of the limit after the member refused a statement, and while it is slow.
BUSY_FACTOR = 0.5
SLOW_FACTOR = 0.8
# Shares of the member that one instance uses at most, while others need less.
MAX_SHARES = 1.5
# Fraction of its share of the member that a slow one leaves to an instance. The others
# may have a different floor, and must not take the whole of it.
SLOW_SHARE_FRACTION = 0.5
# Least time in seconds between two reductions, so that the statements that were sent
# together count as one sign.
REDUCTION_INTERVAL_S = 0.1


class MemberConcurrency(NamedTuple):
    """Limit for one member, and the durations from which it follows.

    Parameters
    ----------
    limit : float
        Statements that may be in progress.
    mean_s_by_priority, floor_s_by_priority : dict
        Moving average of the durations in seconds, and the lowest one, by the priority
        of the route, as routes differ in the length of their statements.
    slowdown : float
        Moving average of the durations as a multiple of their floor.
    reduced_at : float
        Monotonic time in seconds of the last reduction.
    """

    limit: float
    mean_s_by_priority: dict[int, float] = {}
    floor_s_by_priority: dict[int, float] = {}
    slowdown: float = 1.0
    reduced_at: float = -inf


def initial_concurrency(slots: int) -> MemberConcurrency:
    """Return the limit of an instance that does not know the member yet."""
    return MemberConcurrency(max(MIN_LIMIT, _share(slots)))


def complete_statement(
    state: MemberConcurrency,
    priority: int,
    duration_s: float,
    slots: int,
    others_wait: bool,
    now: float,
) -> MemberConcurrency:
    """Return the state after a statement.

    The limit grows only while others wait for room, as an unused limit says nothing
    about the member.
    """
    mean_s = state.mean_s_by_priority.get(priority, duration_s)
    mean_s = next_mean_s(mean_s, duration_s)
    floor_s = state.floor_s_by_priority.get(priority, mean_s)
    floor_s = min(mean_s, floor_s * (1 + FLOOR_GROWTH))
    slowdown = state.slowdown
    if floor_s > 0:
        sample = min(MAX_SLOWDOWN, duration_s / floor_s)
        slowdown += DURATION_WEIGHT * (sample - slowdown)
    state = state._replace(
        mean_s_by_priority={**state.mean_s_by_priority, priority: mean_s},
        floor_s_by_priority={**state.floor_s_by_priority, priority: floor_s},
        slowdown=slowdown,
    )
    if slowdown > REDUCTION_SLOWDOWN:
        least = max(MIN_LIMIT, SLOW_SHARE_FRACTION * _share(slots))
        return _reduce(state, SLOW_FACTOR, least, now)
    if others_wait and slowdown < GROWTH_SLOWDOWN:
        most = MAX_SHARES * _share(slots)
        return state._replace(limit=min(most, state.limit + 1 / state.limit))
    return state


def next_mean_s(mean_s: float, duration_s: float) -> float:
    """Return the mean duration in seconds after another statement."""
    sample_s = min(duration_s, MAX_DURATION_FACTOR * mean_s)
    return mean_s + DURATION_WEIGHT * (sample_s - mean_s)


def reduce_after_loss(state: MemberConcurrency, slots: int) -> MemberConcurrency:
    """Return the state after the member could not be reached.

    It keeps its share: where only this member can serve, a lower limit would leave its
    slots unused.
    """
    return state._replace(limit=min(state.limit, max(MIN_LIMIT, _share(slots))))


def reduce_after_rejection(state: MemberConcurrency, now: float) -> MemberConcurrency:
    """Return the state after the member refused a statement as its queue was full."""
    return _reduce(state, BUSY_FACTOR, MIN_LIMIT, now)


def _share(slots: int) -> float:
    return STATEMENTS_PER_SLOT * max(1, slots) / SHARING_INSTANCES


def _reduce(
    state: MemberConcurrency, factor: float, least: float, now: float
) -> MemberConcurrency:
    if now - state.reduced_at < REDUCTION_INTERVAL_S or state.limit <= least:
        return state
    limit = max(least, factor * state.limit)
    return state._replace(limit=limit, reduced_at=now)
