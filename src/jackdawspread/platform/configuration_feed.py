"""Reads the configuration from the platform's store and follows its changes."""

from absl import logging
from trio import MemorySendChannel, current_time, open_nursery, sleep

from jackdawspread.decisions.shares.store_clock_offset import (
    StoreClockOffset,
    to_local_time,
    update_offset,
)
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform.configuration_rows import decode_configuration
from jackdawspread.platform.store_availability import StoreAvailability
from jackdawspread.platform.store_rows import decode_rows, store_time_s
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.http_client import HttpClient

TABLE = "op"
KEY = "config"
READ_TARGET = f"/rows-get?Table={TABLE}&part="
READ_TIMEOUT_S = 1.5
# The store answers a feed request after this time if nothing has changed.
FEED_WAIT_MS = 4000
FEED_MARGIN_S = 1.0
RETRY_DELAY_S = 0.3
OK = 200
HISTORY_GONE = 410


class ConfigurationFeed:
    """Reads the configuration, then waits for changes by long polling.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    admission, router : trio.MemorySendChannel
        Receive the configuration.
    """

    def __init__(
        self,
        address: str,
        admission: MemorySendChannel[AdmissionEvent],
        router: MemorySendChannel[RouterEvent],
    ) -> None:
        self._address = address
        self._admission = admission
        self._router = router
        self._clock = StoreClockOffset()
        self._availability = StoreAvailability("configuration")
        # Store version up to which all changes are known; None requires a full read.
        self._version: int | None = None

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        async with open_nursery() as connections:
            client = HttpClient(self._address, connections)
            while True:
                outcome = await self._request(client)
                is_reachable = outcome.status in (OK, HISTORY_GONE)
                reason = outcome.error or f"status {outcome.status}"
                self._availability.report(is_reachable, reason, current_time())
                if outcome.status == OK:
                    await self._publish(outcome)
                    continue
                # Read again after a failure. A read confirms the version at once, while
                # an unchanged feed answers only after its wait time.
                self._version = None
                if outcome.status != HISTORY_GONE:
                    await sleep(RETRY_DELAY_S)

    async def _request(self, client: HttpClient) -> HttpOutcome:
        now = current_time()
        if self._version is None:
            return await client.call("GET", READ_TARGET, {}, now + READ_TIMEOUT_S)
        target = f"/rows-feed?Table={TABLE}&after={self._version}&WaitMs={FEED_WAIT_MS}"
        deadline = now + FEED_WAIT_MS / 1000 + FEED_MARGIN_S
        return await client.call("GET", target, {}, deadline)

    async def _publish(self, outcome: HttpOutcome) -> None:
        newest: FleetConfiguration | None = None
        for row in decode_rows(outcome.body):
            if row.key == KEY and not row.deleted:
                newest = _decode(row.value) or newest
        self._version = int(outcome.body.get("Ver") or 0)
        store_now_s = store_time_s(outcome.body)
        self._clock = update_offset(self._clock, store_now_s, seconds_since_boot())
        seen = ConfigurationSeen(newest, to_local_time(self._clock, store_now_s))
        await self._admission.send(seen)
        if newest is not None:
            await self._router.send(seen)


def _decode(value: bytes) -> FleetConfiguration | None:
    try:
        return decode_configuration(value)
    except ValueError as error:
        logging.error("configuration: version ignored reason=%r", str(error))
        return None
