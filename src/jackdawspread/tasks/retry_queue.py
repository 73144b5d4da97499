"""Requests that wait for their retry."""

from jackdawspread.decisions.owner.running_request import RunningRequest


class RetryQueue:
    """Owns the requests that wait for their retry.

    An attempt at each of them has been made, so they are sent before queued requests.
    Their number is bounded by the number of requests that were in flight or awaited
    confirmation.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[float, RunningRequest]] = []

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._entries)

    def add(self, running: RunningRequest, due_at: float) -> None:
        """Add a request that may be sent at the monotonic time ``due_at`` or later."""
        self._entries.append((due_at, running))

    def take_due(self, now: float) -> list[RunningRequest]:
        """Remove and return the requests that may be sent now."""
        due = [running for due_at, running in self._entries if due_at <= now]
        if due:
            self._entries = [entry for entry in self._entries if entry[0] > now]
        return due

    def take_expired(self, now: float) -> list[RunningRequest]:
        """Remove and return the requests whose deadline has passed."""
        late = [r for _, r in self._entries if r.request.deadline <= now]
        if late:
            self._entries = [e for e in self._entries if e[1].request.deadline > now]
        return late
