"""Records of the product in the store."""

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

from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_read import RecordRead
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.messages.fleet.record_write import RecordWrite
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform.store_availability import StoreAvailability
from jackdawspread.platform.store_rows import decode_rows, store_time_s
from jackdawspread.tasks.fleet.record_client import RecordRequest
from jackdawspread.tasks.http_client import HttpClient

TABLE = "jackdawspread"
CALL_S = 1.0
OK = 200
CONFLICT = 412


class RecordStore:
    """Reads and writes records, one call after the other.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    user : str
        Task that uses the records, for the log.
    inbox : trio.MemoryReceiveChannel
        Calls to make.
    """

    def __init__(
        self, address: str, user: str, inbox: MemoryReceiveChannel[RecordRequest]
    ) -> None:
        self._address = address
        self._inbox = inbox
        self._dependency = StoreAvailability(user)

    async def run(self) -> None:
        """Make calls until cancelled."""
        async with open_nursery() as connections:
            client = HttpClient(self._address, connections)
            async for call in self._inbox:
                outcome = await self._make(call, client)
                try:
                    call.reply_to.send_nowait(outcome)
                except BrokenResourceError:
                    # Whoever asked has been cancelled.
                    continue

    @singledispatchmethod
    async def _make(self, call: object, client: HttpClient) -> RecordOutcome:
        raise TypeError(f"the store has no call {type(call).__name__}")

    @_make.register
    async def _(self, call: RecordRead, client: HttpClient) -> RecordOutcome:
        name = quote(call.name)
        target = f"/rows-get?Table={TABLE}&part=&From={name}&To={name}%00"
        outcome = await client.call("GET", target, {}, current_time() + CALL_S)
        self._note(outcome)
        if outcome.status != OK:
            # A read has no effect, so its answer may be missing for any reason.
            return RecordOutcome(RecordStatus.UNKNOWN)
        return _current(RecordStatus.DONE, call.name, outcome.body)

    @_make.register
    async def _(self, call: RecordWrite, client: HttpClient) -> RecordOutcome:
        row = {"Table": TABLE, "part": "", "Key": call.name}
        body = {
            "ExpectedRev": [{**row, "Ver": call.expected_version}],
            "Puts": [{**row, "Value": b64encode(call.value).decode()}],
            "Remove": [],
        }
        outcome = await client.call("POST", "/rows-tx", body, current_time() + CALL_S)
        self._note(outcome)
        if outcome.status == OK:
            version = int(outcome.body.get("Ver") or 0)
            return RecordOutcome(
                RecordStatus.DONE, version, b"", store_time_s(outcome.body)
            )
        if outcome.status == CONFLICT:
            return _current(RecordStatus.CONFLICT, call.name, outcome.body)
        if outcome.status or not outcome.sent:
            return RecordOutcome(RecordStatus.REFUSED)
        return RecordOutcome(RecordStatus.UNKNOWN)

    def _note(self, outcome: HttpOutcome) -> None:
        reason = outcome.error or f"status {outcome.status}"
        self._dependency.note(outcome.status in (OK, CONFLICT), reason, current_time())


def _current(status: RecordStatus, name: str, body: dict[str, Any]) -> RecordOutcome:
    now_s = store_time_s(body)
    for row in decode_rows(body):
        if row.key == name and not row.deleted and row.version:
            return RecordOutcome(status, row.version, row.value, now_s)
    return RecordOutcome(status, 0, b"", now_s)
