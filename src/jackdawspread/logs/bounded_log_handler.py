"""Log handler that never blocks and that limits the rate of lines."""

from logging import Formatter, Handler, LogRecord
from os import set_blocking, write
from time import monotonic

from prometheus_client import Counter

from jackdawspread.logs.log_budget import LogBudget, take_line

STDOUT = 1
# Bytes buffered for a slow reader of the log.
MAX_PENDING_BYTES = 256 * 1024

DROPPED = Counter(
    "jackdawspread_log_lines_dropped", "Log lines dropped over the budget."
)


class BoundedLogHandler(Handler):
    """Writes lines to standard output, and drops lines over the budget or the buffer.

    Dropped lines are counted. After lines over the budget, the next line states
    how many were dropped before it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.setFormatter(Formatter("%(asctime)s %(levelname)s %(message)s"))
        self._budget = LogBudget(refilled_at=monotonic())
        self._pending = bytearray()
        set_blocking(STDOUT, False)

    def emit(self, record: LogRecord) -> None:
        """Format and write one line, or drop it."""
        self._budget, allowed = take_line(self._budget, monotonic())
        if not allowed:
            DROPPED.inc()
            return
        line = self._format_safely(record).replace("\n", " ")
        if self._budget.dropped:
            line = f"{line} dropped_before={self._budget.dropped}"
            self._budget = self._budget._replace(dropped=0)
        if len(self._pending) < MAX_PENDING_BYTES:
            self._pending += line.encode() + b"\n"
        else:
            DROPPED.inc()
        self.flush()

    def _format_safely(self, record: LogRecord) -> str:
        """Format a line; a line with unsuitable arguments must not end the process."""
        try:
            return self.format(record)
        except (OverflowError, TypeError, ValueError) as error:
            return f"ERROR logs: line not formatted text={record.msg!r} reason={error}"

    def flush(self) -> None:
        """Write as much as standard output accepts without blocking."""
        try:
            while self._pending:
                del self._pending[: write(STDOUT, self._pending)]
        except BlockingIOError:
            # The reader is slow; the remainder is written with the next line.
            return
        except OSError:
            # The log has no reader any more, and there is no other place to write to.
            self._pending.clear()
