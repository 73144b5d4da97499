"""Faults that a random run chooses from."""

from typing import NamedTuple

from features.wire.faults.fault import Fault


class FaultMix(NamedTuple):
    """Faults of a random run, which its seed chooses from.

    Parameters
    ----------
    primary_faults : tuple of Fault
        Faults that lead to a promotion, during which a replica may join.
    faults : tuple of Fault
        All other faults, and those that shall be chosen more often.
    interval_s : float
        Mean time in seconds between two faults.
    """

    primary_faults: tuple[Fault, ...]
    faults: tuple[Fault, ...]
    interval_s: float = 1.0
