"""Follows the configuration in the store."""

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
READ_S = 1.5
# The store answers an unchanged feed after this time.
FEED_WAIT_MS = 4000
FEED_SLACK_S = 1.0
RETRY_PAUSE_S = 0.3
OK = 200
HISTORY_GONE = 410


class ConfigurationFeed:
    """Reads the configuration, then waits for its changes.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    admission, router : trio.MemorySendChannel
        Take what was seen.
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
        self._dependency = StoreAvailability("configuration")
        # Version of the store up to which changes are known; None before a read.
        self._known: int | None = None

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        async with open_nursery() as connections:
            client = HttpClient(self._address, connections)
            while True:
                outcome = await self._ask(client)
                reachable = outcome.status in (OK, HISTORY_GONE)
                reason = outcome.error or f"status {outcome.status}"
                self._dependency.note(reachable, reason, current_time())
                if outcome.status == OK:
                    await self._take(outcome)
                    continue
                # A read confirms the version at once, a feed only when its wait ends.
                self._known = None
                if outcome.status != HISTORY_GONE:
                    await sleep(RETRY_PAUSE_S)

    async def _ask(self, client: HttpClient) -> HttpOutcome:
        now = current_time()
        if self._known is None:
            return await client.call("GET", READ_TARGET, {}, now + READ_S)
        target = f"/rows-feed?Table={TABLE}&after={self._known}&WaitMs={FEED_WAIT_MS}"
        deadline = now + FEED_WAIT_MS / 1000 + FEED_SLACK_S
        return await client.call("GET", target, {}, deadline)

    async def _take(self, outcome: HttpOutcome) -> None:
        newest: FleetConfiguration | None = None
        for row in decode_rows(outcome.body):
            if row.key == KEY and not row.deleted:
                newest = _decode(row.value) or newest
        self._known = int(outcome.body.get("Ver") or 0)
        answered_s = store_time_s(outcome.body)
        self._clock = update_offset(self._clock, answered_s, seconds_since_boot())
        seen = ConfigurationSeen(newest, to_local_time(self._clock, answered_s))
        await self._admission.send(seen)
        if newest is not None:
            await self._router.send(seen)


def _decode(value: bytes) -> FleetConfiguration | None:
    try:
        return decode_configuration(value)
    except ValueError as error:
        logging.error("configuration: version ignored reason=%r", str(error))
        return None
