"""Client of the records in the platform's store."""

from trio import MemorySendChannel, open_memory_channel

from jackdawspread.messages.fleet.epoch_read import EpochRead
from jackdawspread.messages.fleet.record_list import RecordList
from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_put import RecordPut
from jackdawspread.messages.fleet.record_read import RecordRead
from jackdawspread.messages.fleet.record_removal import RecordRemoval
from jackdawspread.messages.fleet.record_request import RecordRequest
from jackdawspread.messages.fleet.record_write import RecordWrite
from jackdawspread.messages.fleet.store_epoch import StoreEpoch
from jackdawspread.messages.fleet.stored_record import StoredRecord


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

    async def epoch(self) -> StoreEpoch | None:
        """Return the epoch of the store; None if the store did not answer."""
        send, receive = open_memory_channel[StoreEpoch | None](1)
        await self._store.send(EpochRead(send))
        return await receive.receive()

    async def write(
        self, name: str, expected: int, value: bytes, epoch: int
    ) -> RecordOutcome:
        """Write a record if it has the version expected, which is one of the epoch."""
        send, receive = open_memory_channel[RecordOutcome](1)
        await self._store.send(RecordWrite(name, expected, value, epoch, send))
        return await receive.receive()

    async def put(self, name: str, value: bytes) -> RecordOutcome:
        """Write a record whatever its version is."""
        send, receive = open_memory_channel[RecordOutcome](1)
        await self._store.send(RecordPut(name, value, send))
        return await receive.receive()

    async def remove(self, name: str, expected: int) -> RecordOutcome:
        """Remove a record if it has the expected version."""
        send, receive = open_memory_channel[RecordOutcome](1)
        await self._store.send(RecordRemoval(name, expected, send))
        return await receive.receive()

    async def list(self, prefix: str) -> list[StoredRecord] | None:
        """Read all records whose names begin with a prefix."""
        send, receive = open_memory_channel[list[StoredRecord] | None](1)
        await self._store.send(RecordList(prefix, send))
        return await receive.receive()
