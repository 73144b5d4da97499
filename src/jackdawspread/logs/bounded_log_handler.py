"""Log handler that never blocks and never writes more than its budget."""

from logging import Formatter, Handler, LogRecord
from os import set_blocking, write
from time import monotonic

from prometheus_client import Counter

from jackdawspread.logs.log_budget import LogBudget, take_line

STDOUT = 1
# Bytes that wait for a slow reader of the log.
MAX_PENDING_BYTES = 256 * 1024

DROPPED = Counter(
    "jackdawspread_log_lines_dropped", "Log lines dropped over the budget."
)


class BoundedLogHandler(Handler):
    """Writes lines to standard output as far as its reader and the budget allow.

    Dropped lines are counted, and the next line that is written says how many.
    """

    def __init__(self) -> None:
        super().__init__()
        self.setFormatter(Formatter("%(asctime)s %(levelname)s %(message)s"))
        self._budget = LogBudget(refilled_at=monotonic())
        self._pending = bytearray()
        set_blocking(STDOUT, False)

    def emit(self, record: LogRecord) -> None:
        """Write one line, or drop it."""
        self._budget, allowed = take_line(self._budget, monotonic())
        if not allowed:
            DROPPED.inc()
            return
        line = self.format(record).replace("\n", " ")
        if self._budget.dropped:
            line = f"{line} dropped_before={self._budget.dropped}"
            self._budget = self._budget._replace(dropped=0)
        if len(self._pending) < MAX_PENDING_BYTES:
            self._pending += line.encode() + b"\n"
        else:
            DROPPED.inc()
        self.flush()

    def flush(self) -> None:
        """Write what standard output takes without blocking."""
        try:
            while self._pending:
                del self._pending[: write(STDOUT, self._pending)]
        except BlockingIOError:
            # The reader is slow; the rest is written with the next line.
            return
        except OSError:
            # Nobody reads the log any more, and there is no other place for it.
            self._pending.clear()
