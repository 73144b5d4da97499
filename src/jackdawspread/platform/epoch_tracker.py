"""Notices when the platform's store has been restored from a copy."""

from absl import logging

from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform.store_rows import newest_version
from jackdawspread.tasks.fleet.fleet_metrics import STORE_RESTORES

# Grows by one each time that the store is restored.
EPOCH_HEADER = "store-era"
# A response without the header, for example of a proxy in between, tells nothing.
UNKNOWN_EPOCH = 0
MAX_DIGITS = 9


class EpochTracker:
    """Tracks the epoch of the store in the responses to one task.

    Within an epoch the store gives each version once. A restored store begins a new
    epoch: it lacks the writes since the copy and gives their versions again.

    Parameters
    ----------
    user : str
        Name of the task that calls the store, for the log.
    """

    def __init__(self, user: str) -> None:
        self._user = user
        # Newest version of the store in the epoch.
        self.version = 0
        self.number = UNKNOWN_EPOCH
        # Whether a later epoch has begun since the first response.
        self.has_changed = False

    def observe(self, outcome: HttpOutcome) -> bool:
        """Return whether a response is the first one of a later epoch.

        The first response of all begins no later epoch. An earlier epoch is ignored:
        its response was delayed.
        """
        epoch, version = read_epoch(outcome), newest_version(outcome.body)
        is_restored = UNKNOWN_EPOCH < self.number < epoch
        if is_restored:
            self.has_changed = True
            STORE_RESTORES.labels(self._user).inc()
            logging.warning(
                "store: restored from a copy user=%s epoch=%d previous=%d version=%d "
                "known_version=%d",
                self._user,
                epoch,
                self.number,
                version,
                self.version,
            )
        if epoch >= self.number:
            self.number = epoch
            self.version = version or self.version
        return is_restored


def read_epoch(outcome: HttpOutcome) -> int:
    """Return the epoch that a response names, ``UNKNOWN_EPOCH`` if it names none."""
    text = outcome.headers.get(EPOCH_HEADER, "")
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else UNKNOWN_EPOCH
