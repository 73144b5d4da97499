"""Positions of a primary's log, with the times at which they were known."""

from collections import deque

from jackdawspread.messages.position import Position

# Positions closer together than this do not improve a comparison.
MIN_INTERVAL_S = 0.005
MAX_POSITIONS = 256


class KnownPositions:
    """Tells which position was known when a statement was sent."""

    def __init__(self) -> None:
        # Boot-clock times in seconds, and the highest positions that were known then.
        self._known: deque[tuple[float, Position]] = deque(maxlen=MAX_POSITIONS)

    def add(self, position: Position, now: float) -> None:
        """Remember a position that is known at ``now`` (boot-time clock, seconds)."""
        if self._known:
            last_at, last = self._known[-1]
            if position <= last or now - last_at < MIN_INTERVAL_S:
                return
        self._known.append((now, position))

    def at(self, time: float) -> Position | None:
        """Return the highest position that was known at a time, None if none was."""
        for known_at, position in reversed(self._known):
            if known_at <= time:
                return position
        return None
