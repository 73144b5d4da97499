"""Plan of the load of one run."""

from typing import NamedTuple


class LoadPlan(NamedTuple):
    """Bounds of an open-loop load.

    Parameters
    ----------
    rate : float
        Operations per second, all callers together.
    duration : float
        Seconds during which operations are scheduled.
    max_operations : int
        Most operations scheduled, whatever the rate.
    callers_per_workspace : int
        Callers, each with its own session, in each workspace.
    seed : int
        Seed of the schedule.
    """

    rate: float
    duration: float
    max_operations: int
    callers_per_workspace: int
    seed: int
