"""Measured delay to a failure domain."""

from typing import NamedTuple


class CrossingMeasured(NamedTuple):
    """Reports the delay of a message to a failure domain.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the other end.
    delay_s : float
        Delay in seconds, one way.
    """

    failure_domain: str
    delay_s: float
