"""Rate limit of log lines."""

from typing import NamedTuple

# Rate in lines per second, and burst in lines, of one process.
LINES_PER_S = 200.0
BURST_LINES = 600.0


class LogBudget(NamedTuple):
    """Token bucket that limits the rate of log lines.

    Parameters
    ----------
    lines : float
        Lines that may be written at the time of the last refill.
    refilled_at : float
        Monotonic time in seconds of the last refill.
    dropped : int
        Lines dropped since the last line was written.
    """

    lines: float = BURST_LINES
    refilled_at: float = 0.0
    dropped: int = 0


def take_line(budget: LogBudget, now: float) -> tuple[LogBudget, bool]:
    """Return the budget after one more line, and whether the line may be written."""
    refill = LINES_PER_S * max(0.0, now - budget.refilled_at)
    lines = min(BURST_LINES, budget.lines + refill)
    if lines < 1:
        return LogBudget(lines, now, budget.dropped + 1), False
    return LogBudget(lines - 1, now, budget.dropped), True
