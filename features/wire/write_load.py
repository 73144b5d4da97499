"""Callers that write through one instance."""

from contextlib import suppress
from itertools import count

from features.wire.wire_caller import WireCaller
from features.wire.write_ledger import WriteLedger
from trio import BrokenResourceError, ClosedResourceError, Event, sleep

PAUSE_S = 0.03
RETRY_S = 0.2
# Every third operation is a transaction.
TRANSACTION_EVERY = 3
DATABASE = "primary-db"
UNKNOWN_CODES = ("INDOUBT",)


class WriteLoad:
    """Writes new items in one session, and opens another when it ends.

    Parameters
    ----------
    name : str
        Prefix of the names of the items.
    instance, address : str
        Name and ``IP:port`` of the instance.
    key : str
        Key of the callers.
    ledger : WriteLedger
        Receives what the caller is told.
    """

    def __init__(
        self, name: str, instance: str, address: str, key: str, ledger: WriteLedger
    ) -> None:
        self._name = name
        self._instance = instance
        self._address = address
        self._key = key
        self._ledger = ledger
        self.is_stopped = False
        self.ended = Event()

    async def run(self) -> None:
        """Write until stopped; an open session is used until it ends."""
        numbers = count()
        while not self.is_stopped:
            with suppress(OSError, BrokenResourceError, ClosedResourceError):
                caller = await WireCaller.open(self._address, DATABASE, self._key)
                if caller.opened.startswith("READY"):
                    await self._write(caller, numbers)
                await caller.close()
            await sleep(RETRY_S)
        self.ended.set()

    async def _write(self, caller: WireCaller, numbers: "count[int]") -> None:
        for number in numbers:
            if self.is_stopped:
                return
            text = f"WRITE {self._name}-{number} x"
            if number % TRANSACTION_EVERY:
                is_open = await self._run((), caller, text)
            else:
                is_open = await self._run_transaction(caller, text)
            if not is_open:
                return
            await sleep(PAUSE_S)

    async def _run_transaction(self, caller: WireCaller, text: str) -> bool:
        answer = await caller.query("BEGIN")
        if not _is_done(answer):
            return bool(answer[-1])
        answer = await caller.query(text)
        if _is_done(answer):
            return await self._run((caller.last_id,), caller, "COMMIT")
        self._ledger.refuse((caller.last_id,))
        return bool(answer[-1]) and bool((await caller.query("ROLLBACK"))[-1])

    async def _run(self, ids: tuple[str, ...], caller: WireCaller, text: str) -> bool:
        """Run a write or a commit; return whether the session is open."""
        answer: list[str] = [""]
        with suppress(OSError, BrokenResourceError):
            answer = await caller.query(text)
        ids = ids or (caller.last_id,)
        if _is_done(answer):
            self._ledger.acknowledge(ids, self._instance)
        elif answer[-1] and answer[0].split(" ")[1] not in UNKNOWN_CODES:
            self._ledger.refuse(ids)
        else:
            self._ledger.leave_unknown(ids)
        if "closing" in answer[0]:
            return False
        return bool(answer[-1])


def _is_done(answer: list[str]) -> bool:
    return answer[-1].startswith("READY") and answer[-2].startswith("DONE")
