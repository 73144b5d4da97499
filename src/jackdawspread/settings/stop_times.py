"""Schedule of a graceful shutdown."""

from typing import NamedTuple


class StopTimes(NamedTuple):
    """Times of the steps of a graceful shutdown, in seconds of the monotonic clock.

    Parameters
    ----------
    close_at : float
        Time from which idle sessions are closed.
    begin_until : float
        Time from which no transaction is begun, so that those that are open can end.
    refuse_at : float
        Time from which every operation is refused, and an open transaction is rolled
        back at its next statement.
    answer_by : float
        Time by which every statement has been answered.
    exit_at : float
        Time by which the process exits.
    """

    close_at: float
    begin_until: float
    refuse_at: float
    answer_by: float
    exit_at: float
