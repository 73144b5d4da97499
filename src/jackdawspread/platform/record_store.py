"""Records of the proxy in the platform's store."""

from functools import singledispatchmethod
from typing import Any
from urllib.parse import quote

from trio import (
    BrokenResourceError,
    MemoryReceiveChannel,
    current_time,
    open_nursery,
)

from jackdawspread.messages.fleet.epoch_read import EpochRead
from jackdawspread.messages.fleet.record_list import RecordList
from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_put import RecordPut
from jackdawspread.messages.fleet.record_read import RecordRead
from jackdawspread.messages.fleet.record_removal import RecordRemoval
from jackdawspread.messages.fleet.record_request import RecordRequest
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.messages.fleet.record_write import RecordWrite
from jackdawspread.messages.fleet.store_epoch import StoreEpoch
from jackdawspread.messages.fleet.stored_record import StoredRecord
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform.epoch_marker import marker_key
from jackdawspread.platform.epoch_markers import EpochMarkers
from jackdawspread.platform.epoch_tracker import read_epoch
from jackdawspread.platform.read_rows import read_rows
from jackdawspread.platform.store_availability import StoreAvailability
from jackdawspread.platform.store_entries import (
    TABLE,
    Entry,
    condition_entry,
    put_entry,
    removal_entry,
)
from jackdawspread.platform.store_rows import (
    newest_version,
    present_rows,
    store_time_s,
)
from jackdawspread.tasks.http_client import HttpClient

CALL_TIMEOUT_S = 1.0
OK = 200
CONFLICT = 412
Entries = tuple[Entry, ...]


class RecordStore:
    """Reads and writes records, one call at a time.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    user : str
        Name of the task that uses the records, for the log.
    is_first_start : bool
        Whether no instance can have written records yet.
    inbox : trio.MemoryReceiveChannel
        Reads and writes to execute.
    """

    def __init__(
        self,
        address: str,
        user: str,
        is_first_start: bool,
        inbox: MemoryReceiveChannel[RecordRequest],
    ) -> None:
        self._address = address
        self._inbox = inbox
        self._availability = StoreAvailability(user)
        self._markers = EpochMarkers(user, is_first_start)

    async def run(self) -> None:
        """Make calls until cancelled."""
        async with open_nursery() as connections:
            client = HttpClient(self._address, connections)
            async for request in self._inbox:
                outcome = await self._execute(request, client)
                try:
                    request.reply_to.send_nowait(outcome)
                except BrokenResourceError:
                    # The task that sent the request has been cancelled.
                    continue

    @singledispatchmethod
    async def _execute(self, request: object, client: HttpClient) -> Any:
        """Return the reply, whose type depends on the request."""
        raise TypeError(f"the record store does not handle {type(request).__name__}")

    @_execute.register
    async def _(self, request: RecordRead, client: HttpClient) -> RecordOutcome:
        return await self._read(request.name, client)

    async def _read(self, name: str, client: HttpClient) -> RecordOutcome:
        quoted = quote(name)
        target = f"/rows-get?Table={TABLE}&part=&From={quoted}&To={quoted}%00"
        outcome = await client.call("GET", target, {}, current_time() + CALL_TIMEOUT_S)
        self._report(outcome)
        if outcome.status != OK:
            # A read has no effect, so the reason for its failure does not matter.
            return RecordOutcome(RecordStatus.UNKNOWN)
        return _decode_outcome(RecordStatus.DONE, name, outcome)

    @_execute.register
    async def _(self, request: RecordWrite, client: HttpClient) -> RecordOutcome:
        marker = await self._markers.current(client)
        if marker is None:
            return RecordOutcome(RecordStatus.REFUSED)
        if marker.epoch.number != request.epoch:
            return await self._read_newer(request.name, client)
        version = request.expected_version
        expected = (
            condition_entry(request.name, version),
            condition_entry(marker_key(request.epoch), marker.version),
        )
        put = put_entry(request.name, request.value)
        outcome = await self._change(client, request.name, expected, (put,), ())
        if outcome.status is RecordStatus.CONFLICT and outcome.version == version:
            # The marker differs, not the record.
            self._markers.forget()
            return await self._read_newer(request.name, client)
        if outcome.status is RecordStatus.DONE and outcome.epoch != request.epoch:
            # Restored just before the write: leases may be in use that the restored
            # record does not show, and were not considered.
            return await self._read_newer(request.name, client)
        return outcome

    @_execute.register
    async def _(self, request: EpochRead, client: HttpClient) -> StoreEpoch | None:
        marker = await self._markers.current(client)
        return marker.epoch if marker is not None else None

    @_execute.register
    async def _(self, request: RecordPut, client: HttpClient) -> RecordOutcome:
        put = put_entry(request.name, request.value)
        return await self._change(client, request.name, (), (put,), ())

    @_execute.register
    async def _(self, request: RecordRemoval, client: HttpClient) -> RecordOutcome:
        expected = condition_entry(request.name, request.expected_version)
        removal = removal_entry(request.name)
        return await self._change(client, request.name, (expected,), (), (removal,))

    @_execute.register
    async def _(
        self, request: RecordList, client: HttpClient
    ) -> list[StoredRecord] | None:
        rows = await read_rows(
            client, TABLE, request.prefix, CALL_TIMEOUT_S, self._report
        )
        if rows is None:
            return None
        return [StoredRecord(row.key, row.version, row.value) for row in rows]

    async def _read_newer(self, name: str, client: HttpClient) -> RecordOutcome:
        """Return the record of a later epoch than the one a write depends on."""
        outcome: RecordOutcome = await self._read(name, client)
        if outcome.status is not RecordStatus.DONE:
            return RecordOutcome(RecordStatus.REFUSED)
        return outcome._replace(status=RecordStatus.CONFLICT)

    async def _change(
        self,
        client: HttpClient,
        name: str,
        expected: Entries,
        puts: Entries,
        removals: Entries,
    ) -> RecordOutcome:
        body = {
            "ExpectedRev": list(expected),
            "Puts": list(puts),
            "Remove": list(removals),
        }
        outcome = await client.call(
            "POST", "/rows-tx", body, current_time() + CALL_TIMEOUT_S
        )
        self._report(outcome)
        if outcome.status == OK:
            version, now_s = newest_version(outcome.body), store_time_s(outcome.body)
            epoch = read_epoch(outcome)
            return RecordOutcome(RecordStatus.DONE, version, b"", now_s, epoch)
        if outcome.status == CONFLICT:
            return _decode_outcome(RecordStatus.CONFLICT, name, outcome)
        if outcome.status or not outcome.sent:
            return RecordOutcome(RecordStatus.REFUSED)
        return RecordOutcome(RecordStatus.UNKNOWN)

    def _report(self, outcome: HttpOutcome) -> None:
        reason = outcome.error or f"status {outcome.status}"
        self._availability.report(
            outcome.status in (OK, CONFLICT), reason, current_time()
        )
        self._markers.observe(outcome)


def _decode_outcome(
    status: RecordStatus, name: str, outcome: HttpOutcome
) -> RecordOutcome:
    now_s, epoch = store_time_s(outcome.body), read_epoch(outcome)
    for row in present_rows(outcome.body):
        if row.key == name:
            return RecordOutcome(status, row.version, row.value, now_s, epoch)
    return RecordOutcome(status, 0, b"", now_s, epoch)
