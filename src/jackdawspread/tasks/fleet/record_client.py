"""Client of the records in the platform's store."""

from trio import MemorySendChannel, open_memory_channel

from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_read import RecordRead
from jackdawspread.messages.fleet.record_write import RecordWrite

RecordRequest = RecordRead | RecordWrite


class RecordClient:
    """Reads and writes records through the task that owns the store connection.

    Parameters
    ----------
    store : trio.MemorySendChannel
        Inbox of that task.
    """

    def __init__(self, store: MemorySendChannel[RecordRequest]) -> None:
        self._store = store

    async def read(self, name: str) -> RecordOutcome:
        """Read a record."""
        send, receive = open_memory_channel[RecordOutcome](1)
        await self._store.send(RecordRead(name, send))
        return await receive.receive()

    async def write(self, name: str, expected: int, value: bytes) -> RecordOutcome:
        """Write a record if it has the expected version."""
        send, receive = open_memory_channel[RecordOutcome](1)
        await self._store.send(RecordWrite(name, expected, value, send))
        return await receive.receive()
