"""Offset between the store's clock and the clock of this instance."""

from math import inf
from typing import NamedTuple


class StoreClockOffset(NamedTuple):
    """Largest observed difference between the store's clock and the local clock.

    An answer of the store takes time to arrive, so each observed difference is too
    small and the largest one is the most accurate. A time of the store's clock that is
    derived from it is never too late. ``offset_s`` is in seconds.
    """

    offset_s: float = -inf


def update_offset(
    offset: StoreClockOffset, store_s: float, local_s: float
) -> StoreClockOffset:
    """Return the offset after an answer of the store that was read at ``local_s``."""
    return StoreClockOffset(max(offset.offset_s, store_s - local_s))


def to_store_time(offset: StoreClockOffset, local_s: float) -> float:
    """Return the time of the store's clock at a local time."""
    return local_s + offset.offset_s


def to_local_time(offset: StoreClockOffset, store_s: float) -> float:
    """Return the local time at a time of the store's clock.

    The result is infinitely long ago if no answer of the store has been seen yet, so
    that nothing is taken for recent or for valid.
    """
    return store_s - offset.offset_s if offset.offset_s > -inf else -inf
