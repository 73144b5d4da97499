"""Bound on the volume of the log."""

from typing import NamedTuple

# Lines that a process may write a second, and at once.
LINES_PER_S = 200.0
BURST_LINES = 600.0


class LogBudget(NamedTuple):
    """Token bucket of log lines.

    Parameters
    ----------
    lines : float
        Lines that may be written now.
    refilled_at : float
        Monotonic time in seconds of the last refill.
    dropped : int
        Lines that were dropped since one was last written.
    """

    lines: float = BURST_LINES
    refilled_at: float = 0.0
    dropped: int = 0


def take_line(budget: LogBudget, now: float) -> tuple[LogBudget, bool]:
    """Take one line from the budget; return whether it may be written."""
    earned = LINES_PER_S * max(0.0, now - budget.refilled_at)
    lines = min(BURST_LINES, budget.lines + earned)
    if lines < 1:
        return LogBudget(lines, now, budget.dropped + 1), False
    return LogBudget(lines - 1, now, budget.dropped), True
