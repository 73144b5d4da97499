"""Log lines about connections that a limit has closed or refused."""

from absl import logging
from trio import current_time

# A crowd of clients would otherwise fill the log and displace other lines.
LINE_INTERVAL_S = 1.0


class LimitLog:
    """Writes at most one line a second for each part and reason."""

    def __init__(self) -> None:
        self._next_line_at_by_kind: dict[tuple[str, str], float] = {}
        self._count_by_kind: dict[tuple[str, str], int] = {}

    def write(self, part: str, reason: str, held_bytes: int) -> None:
        """Log or count one connection."""
        kind, now = (part, reason), current_time()
        count = self._count_by_kind.get(kind, 0) + 1
        if now < self._next_line_at_by_kind.get(kind, 0.0):
            self._count_by_kind[kind] = count
            return
        self._next_line_at_by_kind[kind] = now + LINE_INTERVAL_S
        self._count_by_kind[kind] = 0
        logging.warning(
            "limits: connection ended part=%s reason=%r held_bytes=%d count=%d",
            part,
            reason,
            held_bytes,
            count,
        )
