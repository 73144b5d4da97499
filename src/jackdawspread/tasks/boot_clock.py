"""Clock for deadlines that must also expire while the machine is suspended."""

from time import CLOCK_BOOTTIME, clock_gettime


def seconds_since_boot() -> float:
    """Return the seconds since boot, including the time in suspension."""
    return clock_gettime(CLOCK_BOOTTIME)
