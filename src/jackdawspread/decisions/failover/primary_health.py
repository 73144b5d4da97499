"""Evidence against a primary."""

from typing import NamedTuple

# Writes that stay unconfirmed this often, with none confirmed in between, show that
# the primary has lost its replicas.
STALLED_WRITES = 3
STALLED_WINDOW_S = 2.0


class PrimaryHealth(NamedTuple):
    """What speaks against the primary of a group since it last proved to lead.

    Parameters
    ----------
    failures : int
        Failed connections and exchanges since then.
    stalled_at : tuple of float
        Times of writes that were not confirmed, since one last was.
    """

    failures: int = 0
    stalled_at: tuple[float, ...] = ()


def clear_failures(suspicion: PrimaryHealth) -> PrimaryHealth:
    """Forget failures, as the primary has answered a question."""
    return suspicion._replace(failures=0)


def clear_stalled_writes(suspicion: PrimaryHealth) -> PrimaryHealth:
    """Forget stalled writes, as one was confirmed."""
    return suspicion._replace(stalled_at=())


def record_failure(
    suspicion: PrimaryHealth, at: float, write_timed_out: bool
) -> PrimaryHealth:
    """Count a failure that happened at ``at``."""
    if not write_timed_out:
        return suspicion._replace(failures=suspicion.failures + 1)
    recent = (t for t in suspicion.stalled_at if t > at - STALLED_WINDOW_S)
    return suspicion._replace(stalled_at=(*recent, at))


def is_stalled(suspicion: PrimaryHealth) -> bool:
    """Whether the primary no longer gets writes confirmed."""
    return len(suspicion.stalled_at) >= STALLED_WRITES
