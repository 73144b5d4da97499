"""Logs and counts the ends of callers' sessions."""

from absl import logging
from trio import current_time

from jackdawspread.tasks.sessions.session_end import SessionEnd
from jackdawspread.tasks.sessions.session_metrics import (
    REQUESTS_DROPPED,
    SESSIONS_ENDED,
)

CALLER_CLOSED = "caller closed"
CONNECTION_FAILED = "connection failed"
INVALID_MESSAGE = "invalid message"
# Ends that are only counted: the caller's own, and those that have a line already.
COUNTED_ONLY = (CALLER_CLOSED, "refused")
# Lines a second for ends without an unanswered request or an open transaction, such as
# those of all idle sessions at a stop.
MAX_LINES_PER_S = 20
MAX_REQUEST_LINES = 8


class SessionEndLog:
    """Writes a line for each session that its instance or the network ends.

    Belongs to the session listener. Its sessions share it, so that the number of lines
    a second is bounded for all of them together.
    """

    def __init__(self) -> None:
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def write(self, end: SessionEnd) -> None:
        """Count the end of a session, and log it.

        Ends that cost a caller nothing are logged 20 times a second at most; the next
        line says how many were left out.
        """
        SESSIONS_ENDED.labels(end.reason).inc()
        if end.dropped_ids:
            REQUESTS_DROPPED.labels(end.reason).inc(len(end.dropped_ids))
        if end.reason in COUNTED_ONLY and not end.dropped_ids:
            return
        is_harmful = end.request_id or end.in_transaction or end.dropped_ids
        if not is_harmful and not self._may_write():
            self._left_out += 1
            return
        logging.info(
            "session: ended reason=%r database=%s error=%s id=%s in_transaction=%s "
            "idle_ms=%.0f dropped_bytes=%d dropped_requests=%d left_out=%d",
            end.reason,
            end.database or "none",
            end.error or "none",
            end.request_id or "none",
            end.in_transaction,
            1000 * end.idle_s,
            end.dropped_bytes,
            len(end.dropped_ids),
            self._left_out,
        )
        self._left_out = 0
        for id in end.dropped_ids[:MAX_REQUEST_LINES]:
            logging.info(
                "session: request dropped id=%s database=%s reason=%r",
                id,
                end.database or "none",
                end.reason,
            )

    def _may_write(self) -> bool:
        second = int(current_time())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= MAX_LINES_PER_S
