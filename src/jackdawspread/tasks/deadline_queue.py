"""Queue of ids, ordered by deadline."""

from heapq import heappop, heappush


class DeadlineQueue:
    """Holds ids with their deadlines (monotonic seconds), earliest first."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, str]] = []

    def add(self, id: str, deadline: float) -> None:
        """Add an id."""
        heappush(self._entries, (deadline, id))

    def next_deadline(self) -> float:
        """Return the earliest deadline, or infinity if the queue is empty."""
        return self._entries[0][0] if self._entries else float("inf")

    def take_due(self, now: float) -> list[str]:
        """Remove and return the ids whose deadline has been reached."""
        due = []
        while self._entries and self._entries[0][0] <= now:
            due.append(heappop(self._entries)[1])
        return due
