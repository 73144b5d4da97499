"""Fake records of a store that refuses some calls, or does not answer them."""

from collections import Counter

from features.fakes.memory_records import MemoryRecords
from trio import sleep_forever

from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.messages.fleet.stored_record import StoredRecord


class TroubledRecords(MemoryRecords):
    """Records of a store that can be told which calls fail, and counts all calls."""

    def __init__(self) -> None:
        super().__init__()
        self.refuses_writes = False
        self.refused_prefix = ""
        self.unanswered_prefix = ""
        self.write_count = 0
        self.list_count_by_prefix: Counter[str] = Counter()

    async def put(self, name: str, value: bytes) -> RecordOutcome:
        """Write a record unless writes are refused."""
        self.write_count += 1
        if self.refuses_writes:
            return RecordOutcome(RecordStatus.REFUSED)
        return await super().put(name, value)

    async def list(self, prefix: str) -> list[StoredRecord] | None:
        """Read the records whose names begin with a prefix."""
        self.list_count_by_prefix[prefix] += 1
        if self.unanswered_prefix and prefix.startswith(self.unanswered_prefix):
            await sleep_forever()
        if self.refused_prefix and prefix.startswith(self.refused_prefix):
            return None
        return await super().list(prefix)
