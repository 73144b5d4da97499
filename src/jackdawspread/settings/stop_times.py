"""Schedule of a graceful shutdown."""

from typing import NamedTuple


class StopTimes(NamedTuple):
    """Times of the steps of a graceful shutdown, in seconds of the monotonic clock.

    Parameters
    ----------
    close_at : float
        Time from which idle sessions are closed.
    abort_at : float
        Time from which open transactions are aborted.
    exit_at : float
        Time by which the process exits.
    """

    close_at: float
    abort_at: float
    exit_at: float
