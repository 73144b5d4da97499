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
    entry_weights : tuple of int
        Calls of each caller that go to each instance before the next one; empty
        for one call to each in turn.
    """

    rate: float
    duration: float
    max_operations: int
    callers_per_workspace: int
    seed: int
    entry_weights: tuple[int, ...] = ()

    def entries(self, addresses: list[str]) -> list[str]:
        """Return the instances that callers use in turn, with repetitions."""
        weights = self.entry_weights or (1,) * len(addresses)
        pairs = zip(addresses, weights, strict=True)
        return [address for address, weight in pairs for _ in range(weight)]
