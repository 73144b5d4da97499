"""Relation between the store's clock and ours."""

from math import inf
from typing import NamedTuple


class StoreClockOffset(NamedTuple):
    """Largest known difference between the store's clock and ours, in seconds.

    An answer is on its way for some time, so each difference is too small, and the
    largest one is the closest to the truth. Times of the store that are derived
    from it are never too late.
    """

    offset_s: float = -inf


def update_offset(
    clock: StoreClockOffset, store_s: float, local_s: float
) -> StoreClockOffset:
    """Return the clock after an answer of the store that was read at ``local_s``."""
    return StoreClockOffset(max(clock.offset_s, store_s - local_s))


def to_store_time(clock: StoreClockOffset, local_s: float) -> float:
    """Return the store's time at one of ours."""
    return local_s + clock.offset_s


def to_local_time(clock: StoreClockOffset, store_s: float) -> float:
    """Return our time at one of the store's, never later than now."""
    return store_s - clock.offset_s
