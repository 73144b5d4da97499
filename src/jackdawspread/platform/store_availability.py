"""Reports when the store is lost and regained."""

from absl import logging


class StoreAvailability:
    """Remembers whether the last call of one task to the store succeeded.

    Parameters
    ----------
    user : str
        Task that calls the store, for the log.
    """

    def __init__(self, user: str) -> None:
        self._user = user
        self._reachable: bool | None = None

    def note(self, reachable: bool, reason: str, now: float) -> None:
        """Log a change."""
        if reachable is not self._reachable:
            self._reachable = reachable
            logging.info(
                "store: %s user=%s reason=%r at=%.3f",
                "regained" if reachable else "lost",
                self._user,
                reason,
                now,
            )
