"""Logs when the platform's store becomes unavailable and when it returns."""

from absl import logging

from jackdawspread.tasks.fleet.fleet_metrics import STORE_CALLS


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
        """Count a call by its result, and log a change."""
        STORE_CALLS.labels(self._user, "ok" if is_reachable else "failed").inc()
        if is_reachable is not self._is_reachable:
            self._is_reachable = is_reachable
            logging.info(
                "store: %s user=%s reason=%r at=%.3f",
                "regained" if is_reachable else "lost",
                self._user,
                reason,
                now,
            )
