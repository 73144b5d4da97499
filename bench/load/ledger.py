"""Everything that callers saw in a run."""

from collections import Counter

from trio import MemoryReceiveChannel

from bench.load.operation_record import OperationRecord
from bench.load.outcome import Outcome


class Ledger:
    """Owns the records of a run.

    Parameters
    ----------
    inbox : trio.MemoryReceiveChannel
        Records of finished operations.
    """

    def __init__(self, inbox: MemoryReceiveChannel[OperationRecord]) -> None:
        self._inbox = inbox
        self.records: list[OperationRecord] = []
        self.count_by_outcome: Counter[Outcome] = Counter()

    async def run(self) -> None:
        """Collect records until every caller has ended."""
        async for record in self._inbox:
            self.records.append(record)
            self.count_by_outcome[record.outcome] += 1
