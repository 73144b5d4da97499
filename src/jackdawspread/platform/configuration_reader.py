"""Reads the configuration from the platform's store and follows its changes."""

from functools import singledispatchmethod

from trio import (
    CancelScope,
    Event,
    MemoryReceiveChannel,
    MemorySendChannel,
    current_time,
    move_on_after,
    open_nursery,
)

from jackdawspread.decisions.store_reads.configuration_schedule import retry_delay_s
from jackdawspread.messages.fleet.configuration_event import ConfigurationEvent
from jackdawspread.messages.fleet.configuration_reader_event import (
    ConfigurationReaderEvent,
)
from jackdawspread.messages.fleet.configuration_way import ConfigurationWay
from jackdawspread.messages.fleet.confirm_configuration import ConfirmConfiguration
from jackdawspread.messages.fleet.store_reading import StoreReading
from jackdawspread.messages.fleet.store_reading_failed import StoreReadingFailed
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform.configuration_answer import TABLE, decode_answer
from jackdawspread.platform.configuration_attempt_log import (
    log_attempt,
    log_cancelled,
)
from jackdawspread.platform.configuration_pages import ConfigurationPages
from jackdawspread.platform.epoch_tracker import UNKNOWN_EPOCH, EpochTracker
from jackdawspread.platform.ignored_rows import IgnoredRows
from jackdawspread.platform.store_availability import StoreAvailability
from jackdawspread.platform.store_rows import newest_version
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.http_client import HttpClient

READ_TARGET = f"/rows-get?Table={TABLE}&part="
# Time to the first byte of an answer, beyond the wait that was asked for.
ANSWER_TIMEOUT_S = 1.5
# With this wait the store confirms at once that nothing has changed.
CONFIRMATION_WAIT_S = 0.02
OK = 200
HISTORY_GONE = 410


class ConfigurationReader:
    """Reads the configuration, then waits for changes by long polling.

    A complete read is needed only after a start and if the store has lost the history
    since the last answer. An answer that has begun to arrive is never given up.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    inbox : trio.MemoryReceiveChannel
        Orders of the configuration keeper.
    keeper : trio.MemorySendChannel
        Inbox of the configuration keeper, which gets what the store answers.
    """

    def __init__(
        self,
        address: str,
        inbox: MemoryReceiveChannel[ConfigurationReaderEvent],
        keeper: MemorySendChannel[ConfigurationEvent],
    ) -> None:
        self._address = address
        self._inbox = inbox
        self._keeper = keeper
        self._availability = StoreAvailability("configuration")
        self._epoch = EpochTracker("configuration")
        self._ignored = IgnoredRows()
        self._order = StoreReading(True, 0.0, 0, 0, UNKNOWN_EPOCH)
        self._ordered = Event()
        # Store version up to which all changes are known, and its epoch; None requires
        # a complete read.
        self._version: int | None = None
        self._version_epoch = UNKNOWN_EPOCH
        self._must_confirm = False
        self._pages = ConfigurationPages(READ_TARGET)
        # Kind of the call in progress.
        self._way = ConfigurationWay.READ
        self._failures = 0
        self._wait_scope = CancelScope()

    async def run(self) -> None:
        """Follow the orders until cancelled."""
        async with open_nursery() as nursery:
            client = HttpClient(self._address, nursery)
            nursery.start_soon(self._receive, client)
            while True:
                if not self._order.is_on:
                    client.close()
                    await self._ordered.wait()
                    continue
                outcome = await self._call(client)
                if outcome is not None:
                    await self._handle_outcome(outcome)

    async def _receive(self, client: HttpClient) -> None:
        async for event in self._inbox:
            self._handle(event, client)

    @singledispatchmethod
    def _handle(self, event: object, client: HttpClient) -> None:
        raise TypeError(f"the reader does not handle {type(event).__name__}")

    @_handle.register
    def _(self, event: StoreReading, client: HttpClient) -> None:
        if event.is_on and not self._order.is_on and event.store_version:
            self._version, self._version_epoch = event.store_version, event.epoch
            self._must_confirm = True
        self._order = event
        if not event.is_on:
            self._end_wait(client)
        self._ordered.set()
        self._ordered = Event()

    @_handle.register
    def _(self, event: ConfirmConfiguration, client: HttpClient) -> None:
        self._must_confirm = True
        if self._version is not None:
            self._end_wait(client)

    def _end_wait(self, client: HttpClient) -> None:
        """End the call in progress, unless its answer has begun to arrive."""
        if not client.is_receiving:
            self._wait_scope.cancel()

    async def _call(self, client: HttpClient) -> HttpOutcome | None:
        """Return an answer of the store, None if the wait for it was ended."""
        begun_at = seconds_since_boot()
        self._way, target, wait_s = ConfigurationWay.READ, self._pages.next_target, 0.0
        if self._version is not None:
            self._way = ConfigurationWay.FEED
            wait_s = CONFIRMATION_WAIT_S if self._must_confirm else self._order.wait_s
            wait_ms = f"{1000 * wait_s:.0f}"
            target = f"/rows-feed?Table={TABLE}&after={self._version}&WaitMs={wait_ms}"
        self._must_confirm = False
        outcome = None
        with CancelScope() as self._wait_scope:
            deadline = current_time() + wait_s + ANSWER_TIMEOUT_S
            outcome = await client.call("GET", target, {}, deadline)
        if outcome is None:
            log_cancelled(self._way, begun_at)
            client.close()
            return None
        log_attempt(self._way, begun_at, outcome)
        return outcome

    async def _handle_outcome(self, outcome: HttpOutcome) -> None:
        is_answered = outcome.status in (OK, HISTORY_GONE)
        reason = outcome.error or f"status {outcome.status}"
        self._availability.report(is_answered, reason, current_time())
        if self._epoch.observe(outcome) and self._pages.are_begun:
            # The pages before this one are from the lost history.
            self._pages.clear()
            return
        if not is_answered:
            self._must_confirm = True
            self._failures += 1
            await self._keeper.send(StoreReadingFailed())
            await self._pause()
            return
        self._failures = 0
        is_restored = self._epoch.number != self._version_epoch
        if outcome.status == HISTORY_GONE or (
            self._way is ConfigurationWay.FEED and is_restored
        ):
            # The answer goes on from a version of the lost history.
            self._version = None
            return
        if self._way is ConfigurationWay.READ:
            joined = self._pages.add(outcome)
            if joined is None:
                return
            outcome = joined
        self._version = newest_version(outcome.body)
        self._version_epoch = self._epoch.number
        epoch = self._epoch.number
        seen = decode_answer(outcome, self._way, epoch, self._ignored)
        await self._keeper.send(seen)

    async def _pause(self) -> None:
        """Wait before the next call; a new order ends the wait."""
        delay_s = retry_delay_s(self._failures, self._order.rank)
        with move_on_after(delay_s):
            await self._ordered.wait()
