"""Records of the proxy in the platform's store."""

from base64 import b64encode
from functools import singledispatchmethod
from typing import Any
from urllib.parse import quote

from trio import (
    BrokenResourceError,
    MemoryReceiveChannel,
    current_time,
    open_nursery,
)

from jackdawspread.messages.fleet.record_list import RecordList
from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_put import RecordPut
from jackdawspread.messages.fleet.record_read import RecordRead
from jackdawspread.messages.fleet.record_removal import RecordRemoval
from jackdawspread.messages.fleet.record_request import RecordRequest
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.messages.fleet.record_write import RecordWrite
from jackdawspread.messages.fleet.stored_record import StoredRecord
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform.epoch_tracker import EpochTracker
from jackdawspread.platform.read_rows import read_rows
from jackdawspread.platform.store_availability import StoreAvailability
from jackdawspread.platform.store_rows import decode_rows, store_time_s
from jackdawspread.tasks.http_client import HttpClient

TABLE = "jackdawspread"
CALL_TIMEOUT_S = 1.0
OK = 200
CONFLICT = 412

# Entry of a transaction, and several of them.
Entry = dict[str, str | int]
Entries = tuple[Entry, ...]


class RecordStore:
    """Reads and writes records, one call at a time.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    user : str
        Name of the task that uses the records, for the log.
    inbox : trio.MemoryReceiveChannel
        Reads and writes to execute.
    """

    def __init__(
        self, address: str, user: str, inbox: MemoryReceiveChannel[RecordRequest]
    ) -> None:
        self._address = address
        self._inbox = inbox
        self._availability = StoreAvailability(user)
        self._epoch = EpochTracker(user)

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
        name = quote(request.name)
        target = f"/rows-get?Table={TABLE}&part=&From={name}&To={name}%00"
        outcome = await client.call("GET", target, {}, current_time() + CALL_TIMEOUT_S)
        self._report(outcome)
        if outcome.status != OK:
            # A read has no effect, so the reason for its failure does not matter.
            return RecordOutcome(RecordStatus.UNKNOWN)
        return _decode_outcome(RecordStatus.DONE, request.name, outcome.body)

    @_execute.register
    async def _(self, request: RecordWrite, client: HttpClient) -> RecordOutcome:
        expected = {**_row(request.name), "Ver": request.expected_version}
        put = {**_row(request.name), "Value": b64encode(request.value).decode()}
        return await self._change(client, request.name, (expected,), (put,), ())

    @_execute.register
    async def _(self, request: RecordPut, client: HttpClient) -> RecordOutcome:
        put = {**_row(request.name), "Value": b64encode(request.value).decode()}
        return await self._change(client, request.name, (), (put,), ())

    @_execute.register
    async def _(self, request: RecordRemoval, client: HttpClient) -> RecordOutcome:
        row = _row(request.name)
        expected = {**row, "Ver": request.expected_version}
        return await self._change(client, request.name, (expected,), (), (row,))

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
            version = int(outcome.body.get("Ver") or 0)
            return RecordOutcome(
                RecordStatus.DONE, version, b"", store_time_s(outcome.body)
            )
        if outcome.status == CONFLICT:
            return _decode_outcome(RecordStatus.CONFLICT, name, outcome.body)
        if outcome.status or not outcome.sent:
            return RecordOutcome(RecordStatus.REFUSED)
        return RecordOutcome(RecordStatus.UNKNOWN)

    def _report(self, outcome: HttpOutcome) -> None:
        reason = outcome.error or f"status {outcome.status}"
        self._availability.report(
            outcome.status in (OK, CONFLICT), reason, current_time()
        )
        self._epoch.observe(outcome)


def _row(name: str) -> Entry:
    return {"Table": TABLE, "part": "", "Key": name}


def _decode_outcome(
    status: RecordStatus, name: str, body: dict[str, Any]
) -> RecordOutcome:
    now_s = store_time_s(body)
    for row in decode_rows(body):
        if row.key == name and not row.deleted and row.version:
            return RecordOutcome(status, row.version, row.value, now_s)
    return RecordOutcome(status, 0, b"", now_s)
