"""Seed of a random run that has lost acknowledged writes."""

from typing import NamedTuple


class FoundSeed(NamedTuple):
    """A run to repeat.

    Parameters
    ----------
    seed : int
        Seed of the plan of faults.
    seconds : int
        Time for which faults happen.
    cause : str
        What led to the loss.
    mix : str
        Name of the mix of faults.
    """

    seed: int
    seconds: int
    cause: str
    mix: str = "recorded"
