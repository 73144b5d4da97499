"""Clock for what must not outlast a suspension of the machine."""

from time import CLOCK_BOOTTIME, clock_gettime


def seconds_since_boot() -> float:
    """Return seconds since boot, counting the time of a suspension."""
    return clock_gettime(CLOCK_BOOTTIME)
