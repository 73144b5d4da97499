"""Failures of a primary as counted by an instance."""

from typing import NamedTuple

# This many unconfirmed writes, with no confirmed one in between, show that the primary
# has lost contact with its replicas.
STALLED_WRITE_THRESHOLD = 3
STALLED_WINDOW_S = 2.0


class PrimaryHealth(NamedTuple):
    """Failures of a primary since it last answered as the primary.

    Parameters
    ----------
    failure_count : int
        Number of failed connections and exchanges since then.
    stalled_at : tuple of float
        Monotonic times of writes that timed out since the last confirmed write.
    """

    failure_count: int = 0
    stalled_at: tuple[float, ...] = ()


def clear_failures(primary_health: PrimaryHealth) -> PrimaryHealth:
    """Reset the failure count after an answer of the primary."""
    return primary_health._replace(failure_count=0)


def clear_stalled_writes(primary_health: PrimaryHealth) -> PrimaryHealth:
    """Remove the stalled writes after a write was confirmed."""
    return primary_health._replace(stalled_at=())


def record_failure(
    primary_health: PrimaryHealth, at: float, write_timed_out: bool
) -> PrimaryHealth:
    """Count a failure that happened at ``at``."""
    if not write_timed_out:
        return primary_health._replace(failure_count=primary_health.failure_count + 1)
    recent = (t for t in primary_health.stalled_at if t > at - STALLED_WINDOW_S)
    return primary_health._replace(stalled_at=(*recent, at))


def is_stalled(primary_health: PrimaryHealth) -> bool:
    """Whether the primary no longer gets its writes confirmed."""
    return len(primary_health.stalled_at) >= STALLED_WRITE_THRESHOLD
