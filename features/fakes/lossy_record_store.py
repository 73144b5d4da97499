"""Fake record store that loses answers."""

from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.messages.fleet.store_epoch import StoreEpoch

NOW_S = 100.0
# A store that names no epoch.
EPOCH = 0


class LossyRecordStore:
    """Store with one record whose next writes have the given results.

    Parameters
    ----------
    results : list of str
        ``done``; ``unanswered``: done, but the answer is lost; ``late``: done just
        before the next write, without an answer; or ``lost``. Further writes are done.
    """

    def __init__(self, results: list[str]) -> None:
        self._results = results
        self._late: tuple[int, bytes] | None = None
        self.version = 0
        self.value = b""
        # Record that another instance writes when an answer is lost.
        self.other = b""

    async def read(self, name: str) -> RecordOutcome:
        """Read the record."""
        return RecordOutcome(RecordStatus.DONE, self.version, self.value, NOW_S, EPOCH)

    async def epoch(self) -> StoreEpoch:
        """Return the only epoch."""
        return StoreEpoch(EPOCH, began_s=0.0)

    async def write(
        self, name: str, expected: int, value: bytes, epoch: int
    ) -> RecordOutcome:
        """Write the record with the next result in the list."""
        if self._late is not None:
            late, self._late = self._late, None
            self._put(*late)
        result = self._results.pop(0) if self._results else "done"
        if result == "late":
            self._late = (expected, value)
        if result in ("done", "unanswered"):
            done = self._put(expected, value)
            if result == "done":
                status = RecordStatus.DONE if done else RecordStatus.CONFLICT
                current = b"" if done else self.value
                return RecordOutcome(status, self.version, current, NOW_S, EPOCH)
        if self.other:
            self._put(self.version, self.other)
        return RecordOutcome(RecordStatus.UNKNOWN)

    def _put(self, expected: int, value: bytes) -> bool:
        if expected != self.version:
            return False
        self.version += 1
        self.value = value
        return True
