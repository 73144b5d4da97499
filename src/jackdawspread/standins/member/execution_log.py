"""Executed statements of a member."""

from collections import deque
from typing import Any

from jackdawspread.standins.member.executed_document import ExecutedDocument

# Bounds the memory of long runs; a page says how many records were dropped.
MAX_EXECUTED = 200_000


class ExecutionLog:
    """Keeps the last records in the order of execution."""

    def __init__(self) -> None:
        self._records: deque[ExecutedDocument] = deque(maxlen=MAX_EXECUTED)
        self._count = 0

    def append(self, record: ExecutedDocument) -> None:
        """Add a record."""
        self._count += 1
        self._records.append(record)

    def page(self, offset: int, limit: int) -> dict[str, Any]:
        """Return records from a count since the start of the process."""
        dropped = self._count - len(self._records)
        first = max(offset - dropped, 0)
        return {
            "executed": list(self._records)[first : first + limit],
            "executed_count": self._count,
            "executed_dropped": dropped,
        }
