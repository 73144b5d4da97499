"""Average demand of a workspace at one instance."""

from math import exp
from typing import NamedTuple

# Time constant of the average, slightly longer than a renewal interval of the shares.
AVERAGING_TIME_S = 3.0


class DemandMeter(NamedTuple):
    """Exponential moving average of the operations per second.

    Parameters
    ----------
    rate : float
        Average at ``counted_at``, in operations per second.
    counted_at : float
        Monotonic time in seconds of the last counted operation.
    """

    rate: float = 0.0
    counted_at: float = 0.0


def count_operation(meter: DemandMeter, now: float) -> DemandMeter:
    """Count one operation."""
    return DemandMeter(current_rate(meter, now) + 1 / AVERAGING_TIME_S, now)


def current_rate(meter: DemandMeter, now: float) -> float:
    """Return the average at ``now``, decayed since the last operation."""
    return meter.rate * exp(-max(0.0, now - meter.counted_at) / AVERAGING_TIME_S)
