"""Upper bound of the difference between the store's clock and the local clock.

`StoreClockOffset` bounds the difference from below, which gives a time of the store's
clock that is never too late. The bound here gives a local time that is never too late.
"""

from math import inf
from typing import NamedTuple

# The clocks of two machines may each be slewed by 500 ppm, so a bound gets wrong by up
# to this many seconds in each second after it was measured.
DRIFT_PER_S = 0.001
# The store's times are rounded to milliseconds, also those that another instance has
# passed on.
ROUNDING_S = 0.002


class StoreClockBound(NamedTuple):
    """Smallest bound that the calls of this instance have shown.

    A call is answered after it was sent, so the store's time in the answer less the
    local time at which the call was sent is never below the difference.

    Parameters
    ----------
    difference_s : float
        Bound of the store's clock less the local clock in seconds; infinite if no call
        has been answered yet.
    measured_at : float
        Local time in seconds at which the call was sent.
    """

    difference_s: float = inf
    measured_at: float = 0.0


def update_bound(
    bound: StoreClockBound, store_s: float, sent_at: float, received_at: float
) -> StoreClockBound:
    """Return the bound after a call.

    A call whose answer contradicts the bound replaces it: the store's clock was set
    forward, for example because the store runs on another machine.

    Parameters
    ----------
    bound : StoreClockBound
        Bound before the call.
    store_s : float
        Time of the store's clock in the answer.
    sent_at, received_at : float
        Local times before the call was sent and after its answer began to arrive.
    """
    measured = StoreClockBound(store_s - sent_at + ROUNDING_S, sent_at)
    known_s = bound_at(bound, sent_at)
    is_contradicted = store_s - received_at > known_s
    return measured if is_contradicted or measured.difference_s <= known_s else bound


def bound_at(bound: StoreClockBound, local_s: float) -> float:
    """Return the bound at a local time; it grows, as the clocks' rates differ."""
    return bound.difference_s + DRIFT_PER_S * max(0.0, local_s - bound.measured_at)


def to_earlier_local_time(bound: StoreClockBound, store_s: float, now: float) -> float:
    """Return a local time that is not after a time of the store's clock.

    It is infinitely long ago if no call has been answered yet.
    """
    return store_s - bound_at(bound, now)
