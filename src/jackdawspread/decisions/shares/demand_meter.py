"""Demand of a workspace over the last seconds."""

from math import exp
from typing import NamedTuple

# Time over which the demand is averaged; some renewals of the shares.
AVERAGING_S = 3.0


class DemandMeter(NamedTuple):
    """Exponentially averaged operations per second.

    Parameters
    ----------
    rate : float
        Average at ``counted_at``, in operations per second.
    counted_at : float
        Monotonic time in seconds of the last operation.
    """

    rate: float = 0.0
    counted_at: float = 0.0


def count(meter: DemandMeter, now: float) -> DemandMeter:
    """Count one operation."""
    return DemandMeter(current_rate(meter, now) + 1 / AVERAGING_S, now)


def current_rate(meter: DemandMeter, now: float) -> float:
    """Return the average, to which nothing was added since the last operation."""
    return meter.rate * exp(-max(0.0, now - meter.counted_at) / AVERAGING_S)
