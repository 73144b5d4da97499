"""Logs when the platform's store becomes unavailable and when it returns."""

from absl import logging


class StoreAvailability:
    """Tracks whether the last call of one task to the store succeeded.

    Parameters
    ----------
    user : str
        Name of the task that calls the store, for the log.
    """

    def __init__(self, user: str) -> None:
        self._user = user
        self._is_reachable: bool | None = None

    def report(self, is_reachable: bool, reason: str, now: float) -> None:
        """Record the result of a call, and log a change."""
        if is_reachable is not self._is_reachable:
            self._is_reachable = is_reachable
            logging.info(
                "store: %s user=%s reason=%r at=%.3f",
                "regained" if is_reachable else "lost",
                self._user,
                reason,
                now,
            )
