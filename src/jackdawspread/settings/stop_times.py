"""Times of a planned stop."""

from typing import NamedTuple


class StopTimes(NamedTuple):
    """Monotonic times in seconds of the steps of a planned stop.

    Parameters
    ----------
    close_at : float
        Sessions at rest are closed from then on.
    abort_at : float
        Open transactions are ended from then on.
    exit_at : float
        The process ends at the latest.
    """

    close_at: float
    abort_at: float
    exit_at: float
