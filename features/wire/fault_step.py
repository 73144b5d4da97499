"""Fault of a random run."""

from typing import NamedTuple

from features.wire.faults.fault import Fault


class FaultStep(NamedTuple):
    """A fault, when it begins and ends, and where.

    Parameters
    ----------
    at_s : float
        Seconds after the start of the run.
    fault : Fault
        What fails.
    duration_s : float
        Seconds until it ends.
    choice, other_choice : float
        Fractions of the lists of instances and of members that can be chosen.
    """

    at_s: float
    fault: Fault
    duration_s: float
    choice: float
    other_choice: float
