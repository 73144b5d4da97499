"""Clock for what must not outlast a suspension of the machine."""

from time import CLOCK_BOOTTIME, clock_gettime


def steady_time() -> float:
    """Return seconds since boot, counting the time of a suspension."""
    return clock_gettime(CLOCK_BOOTTIME)
