"""Fault of a random run."""

from typing import NamedTuple

from features.wire.fault_kind import FaultKind


class FaultStep(NamedTuple):
    """A fault, when it begins and ends, and where.

    Parameters
    ----------
    at_s : float
        Seconds after the start of the run.
    kind : FaultKind
        What fails.
    duration_s : float
        Seconds until it ends.
    choice, other_choice : float
        Fractions of the lists of instances and of members that can be chosen.
    """

    at_s: float
    kind: FaultKind
    duration_s: float
    choice: float
    other_choice: float
