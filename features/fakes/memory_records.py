"""Fake records of a store that always answers."""

from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.messages.fleet.stored_record import StoredRecord


class MemoryRecords:
    """Records with versions, shared by several instances."""

    def __init__(self) -> None:
        self.record_by_name: dict[str, StoredRecord] = {}
        self._version = 0

    async def put(self, name: str, value: bytes) -> RecordOutcome:
        """Write a record."""
        self._version += 1
        self.record_by_name[name] = StoredRecord(name, self._version, value)
        return RecordOutcome(RecordStatus.DONE, self._version)

    async def list(self, prefix: str) -> list[StoredRecord]:
        """Read the records whose names begin with a prefix."""
        return [r for n, r in self.record_by_name.items() if n.startswith(prefix)]

    async def remove(self, name: str, expected: int) -> RecordOutcome:
        """Remove a record of the expected version."""
        record = self.record_by_name.get(name)
        if record is None or record.version != expected:
            return RecordOutcome(RecordStatus.CONFLICT)
        del self.record_by_name[name]
        return RecordOutcome(RecordStatus.DONE)
