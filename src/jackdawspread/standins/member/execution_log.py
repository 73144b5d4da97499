"""Log of the statements that a member executed."""

from collections import deque
from typing import Any

from jackdawspread.standins.member.executed_document import ExecutedDocument

# Bounds the memory of long runs; a page reports how many records were dropped.
MAX_EXECUTED = 200_000


class ExecutionLog:
    """Keeps the most recent records in the order of execution."""

    def __init__(self) -> None:
        self._records: deque[ExecutedDocument] = deque(maxlen=MAX_EXECUTED)
        self._count = 0

    def append(self, record: ExecutedDocument) -> None:
        """Add a record; drop the oldest one if the log is full."""
        self._count += 1
        self._records.append(record)

    def page(self, offset: int, limit: int) -> dict[str, Any]:
        """Return up to `limit` records from an offset since the process started."""
        dropped = self._count - len(self._records)
        first = max(offset - dropped, 0)
        return {
            "executed": list(self._records)[first : first + limit],
            "executed_count": self._count,
            "executed_dropped": dropped,
        }
