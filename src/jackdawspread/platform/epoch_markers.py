"""Reads and creates the marker of the current epoch of the platform's store."""

from absl import logging
from trio import current_time

from jackdawspread.messages.fleet.store_epoch import StoreEpoch
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform.epoch_marker import (
    PREFIX,
    EpochMarker,
    encode_marker,
    find_marker,
    marker_key,
)
from jackdawspread.platform.epoch_tracker import EpochTracker
from jackdawspread.platform.read_rows import OK, read_rows
from jackdawspread.platform.store_entries import (
    TABLE,
    condition_entry,
    put_entry,
    removal_entry,
)
from jackdawspread.platform.store_rows import StoreRow, present_rows, store_time_s
from jackdawspread.tasks.http_client import HttpClient

CALL_TIMEOUT_S = 1.0
CONFLICT = 412
# Time of the store's clock before any lease was given, for the epoch in which the
# system starts for the first time.
BEFORE_ALL_LEASES_S = -1e9


class EpochMarkers:
    """Keeps the marker of the epoch that the answers to one task name.

    Parameters
    ----------
    user : str
        Name of the task that calls the store, for the log.
    is_first_start : bool
        Whether no instance can have written records yet.
    """

    def __init__(self, user: str, is_first_start: bool) -> None:
        self._is_first_start = is_first_start
        self._tracker = EpochTracker(user)
        self._store_time_s = 0.0
        # Marker of the current epoch; None until it is read.
        self._marker: EpochMarker | None = None

    def observe(self, outcome: HttpOutcome) -> None:
        """Take note of an answer of the store."""
        self._store_time_s = store_time_s(outcome.body) or self._store_time_s
        if self._tracker.observe(outcome):
            self._marker = None

    def forget(self) -> None:
        """Read the marker again when it is next needed."""
        self._marker = None

    async def current(self, client: HttpClient) -> EpochMarker | None:
        """Return the marker, which is read or created if it is not known.

        The result is None if the store did not answer.
        """
        if self._marker is None:
            rows = await read_rows(client, TABLE, PREFIX, CALL_TIMEOUT_S, self.observe)
            if rows is not None:
                number = self._tracker.number
                found = _find(rows, number)
                self._marker = found or await self._create(client, number, rows)
        return self._marker

    async def _create(
        self, client: HttpClient, number: int, rows: list[StoreRow]
    ) -> EpochMarker | None:
        """Create the marker of an epoch and remove those of earlier ones."""
        is_first = self._is_first_start and not rows and not self._tracker.has_changed
        began_s = BEFORE_ALL_LEASES_S if is_first else self._store_time_s
        epoch, key = StoreEpoch(number, began_s), marker_key(number)
        version_by_key = {key: 0, **{row.key: row.version for row in rows}}
        body = {
            "ExpectedRev": [
                condition_entry(name, version)
                for name, version in version_by_key.items()
            ],
            "Puts": [put_entry(key, encode_marker(epoch))],
            "Remove": [removal_entry(row.key) for row in rows if row.key != key],
        }
        deadline = current_time() + CALL_TIMEOUT_S
        outcome = await client.call("POST", "/rows-tx", body, deadline)
        self.observe(outcome)
        if self._tracker.number != number or outcome.status not in (OK, CONFLICT):
            return None
        if outcome.status == CONFLICT:
            # Another instance was first.
            return _find(present_rows(outcome.body), number)
        logging.info("store: epoch=%d began at=%.3f", number, began_s)
        return EpochMarker(epoch, self._tracker.version)


def _find(rows: list[StoreRow], number: int) -> EpochMarker | None:
    try:
        return find_marker(rows, number)
    except ValueError as error:
        logging.error("store: marker replaced epoch=%d reason=%r", number, error)
        return None
