"""Reads the configuration from the platform's store and follows its changes."""

from functools import singledispatchmethod
from math import inf

from absl import logging
from trio import (
    CancelScope,
    MemoryReceiveChannel,
    MemorySendChannel,
    WouldBlock,
    current_time,
    open_nursery,
    sleep,
)

from jackdawspread.decisions.store_reads.configuration_choice import (
    ConfigurationChoice,
    choose_configuration,
)
from jackdawspread.decisions.store_reads.configuration_schedule import (
    ANSWER_MARGIN_S,
    confirmation_timeout_s,
    feed_wait_s,
    retry_delay_s,
)
from jackdawspread.decisions.store_reads.domain_rank import MAX_RANK, rank_in_domain
from jackdawspread.decisions.store_reads.held_configuration import HeldConfiguration
from jackdawspread.decisions.store_reads.store_clock_offset import (
    StoreClockOffset,
    to_local_time,
    update_offset,
)
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.broadcast_datagram import BroadcastDatagram
from jackdawspread.messages.fleet.configuration_confirmed import ConfigurationConfirmed
from jackdawspread.messages.fleet.configuration_feed_event import (
    ConfigurationFeedEvent,
)
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.configuration_way import ConfigurationWay
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.newer_configuration_known import (
    NewerConfigurationKnown,
)
from jackdawspread.messages.fleet.peer_event import PeerEvent
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform.configuration_attempt_log import (
    log_attempt,
    log_cancelled,
)
from jackdawspread.platform.configuration_rows import decode_configuration
from jackdawspread.platform.epoch_tracker import EpochTracker
from jackdawspread.platform.evacuation_tracker import EvacuationTracker
from jackdawspread.platform.region_check import RegionCheck
from jackdawspread.platform.store_availability import StoreAvailability
from jackdawspread.platform.store_rows import (
    StoreRow,
    decode_rows,
    newest_version,
    store_time_s,
)
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.http_client import HttpClient

TABLE = "op"
KEY = "config"
READ_TARGET = f"/rows-get?Table={TABLE}&part="
READ_TIMEOUT_S = 1.5
# Two instances know the store's clock with errors below this time.
CLOCK_MARGIN_S = READ_TIMEOUT_S
# A change that another instance has seen arrives within this time over the feed.
CHANGE_DELAY_S = 0.5
OK = 200
HISTORY_GONE = 410


class ConfigurationFeed:
    """Reads the configuration, then waits for changes by long polling.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    instance, failure_domain : str
        Id and failure domain of this instance.
    max_age_s : float
        Age in seconds beyond which a configuration may not be used.
    evacuations : EvacuationTracker or None
        Tracks evacuations, which are rows of the same table; None if there are none.
    regions : RegionCheck
        Checks the regions that a configuration names.
    inbox : trio.MemoryReceiveChannel
        Confirmations that other instances have passed on, and the list of instances.
    admission, router : trio.MemorySendChannel
        Receive the configuration.
    peers : trio.MemorySendChannel
        Inbox of the peers task.
    """

    def __init__(
        self,
        address: str,
        instance: str,
        failure_domain: str,
        max_age_s: float,
        evacuations: EvacuationTracker | None,
        regions: RegionCheck,
        inbox: MemoryReceiveChannel[ConfigurationFeedEvent],
        admission: MemorySendChannel[AdmissionEvent],
        router: MemorySendChannel[RouterEvent],
        peers: MemorySendChannel[PeerEvent],
    ) -> None:
        self._address = address
        self._instance = instance
        self._failure_domain = failure_domain
        self._max_age_s = max_age_s
        self._evacuations = evacuations
        self._regions = regions
        self._inbox = inbox
        self._admission = admission
        self._router = router
        self._peers = peers
        self._clock = StoreClockOffset()
        self._availability = StoreAvailability("configuration")
        self._epoch = EpochTracker("configuration")
        self._rank = MAX_RANK
        # Store version up to which all changes are known; None requires a full read.
        self._version: int | None = None
        self._held: HeldConfiguration | None = None
        # Newest configuration that was read from the store, and the version of a row
        # that could not be read.
        self._stored: FleetConfiguration | None = None
        self._ignored_row = 0
        self._last_choice = ConfigurationChoice.CONFIRM
        # Monotonic time of the last confirmation by the store or by another instance.
        self._confirmed_at = 0.0
        self._feed_scope = CancelScope()
        # Why the call in progress may be cancelled.
        self._cancel_reason = ""

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        async with open_nursery() as nursery:
            nursery.start_soon(self._receive)
            client = HttpClient(self._address, nursery)
            while True:
                outcome = await self._request(client)
                if outcome is None:
                    self._version = None
                    continue
                is_reachable = outcome.status in (OK, HISTORY_GONE)
                reason = outcome.error or f"status {outcome.status}"
                self._availability.report(is_reachable, reason, current_time())
                is_restored = self._epoch.observe(outcome)
                if is_restored and self._version is not None:
                    # The answer goes on from a version of the lost history.
                    self._version = None
                    continue
                if outcome.status == OK:
                    await self._publish(outcome)
                    continue
                # Read again after a failure. A read confirms the version at once, while
                # an unchanged feed answers only after its wait time.
                self._version = None
                if outcome.status != HISTORY_GONE:
                    # Without a configuration this instance serves nobody.
                    rank = self._rank if self._held is not None else 0
                    await sleep(retry_delay_s(rank))

    async def _request(self, client: HttpClient) -> HttpOutcome | None:
        """Return an answer of the store, None if the configuration must be read."""
        now, begun_at = current_time(), seconds_since_boot()
        if self._version is None:
            read = await client.call("GET", READ_TARGET, {}, now + READ_TIMEOUT_S)
            log_attempt(ConfigurationWay.READ, begun_at, read)
            return read
        wait_s = feed_wait_s(self._rank)
        target = (
            f"/rows-feed?Table={TABLE}&after={self._version}&WaitMs={1000 * wait_s:.0f}"
        )
        outcome, self._cancel_reason = None, "not confirmed in time"
        with CancelScope(deadline=self._confirm_by()) as self._feed_scope:
            outcome = await client.call(
                "GET", target, {}, now + wait_s + ANSWER_MARGIN_S
            )
        if outcome is None:
            log_cancelled(ConfigurationWay.FEED, begun_at, self._cancel_reason)
            client.close()
        else:
            log_attempt(ConfigurationWay.FEED, begun_at, outcome)
        return outcome

    def _confirm_by(self) -> float:
        return self._confirmed_at + confirmation_timeout_s(self._rank)

    async def _receive(self) -> None:
        async for event in self._inbox:
            await self._handle(event)

    @singledispatchmethod
    async def _handle(self, event: object) -> None:
        raise TypeError(f"the feed does not handle {type(event).__name__}")

    @_handle.register
    async def _(self, event: PeersSeen) -> None:
        self._rank = rank_in_domain(
            self._instance, self._failure_domain, event.entry_by_instance
        )
        self._feed_scope.deadline = self._confirm_by()

    @_handle.register
    async def _(self, event: ConfigurationConfirmed) -> None:
        own = self._held.configuration.version if self._held is not None else 0
        now = seconds_since_boot()
        as_of = to_local_time(self._clock, event.store_time_s)
        if as_of > now + CLOCK_MARGIN_S:
            logging.warning(
                "configuration: confirmation from the future ignored version=%d "
                "ahead_s=%.1f",
                event.version,
                as_of - now,
            )
            return
        as_of = min(as_of, now)
        if event.version > own:
            logging.info(
                "configuration: newer version known to a peer version=%d own=%d",
                event.version,
                own,
            )
            self._cancel_reason = "newer version known to a peer"
            self._feed_scope.cancel()
            await self._admission.send(NewerConfigurationKnown(event.version))
        elif event.version == own and not self._has_same_evacuations(event):
            # A change is on its way to this instance, unless its connection is lost.
            if self._held is not None and as_of > self._held.confirmed_at:
                read_at = current_time() + CHANGE_DELAY_S
                deadline = min(self._feed_scope.deadline, read_at)
                self._feed_scope.deadline = deadline
        elif event.version == own:
            self._confirmed_at = current_time()
            self._feed_scope.deadline = self._confirm_by()
            if self._held is not None:
                confirmed_at = max(self._held.confirmed_at, as_of)
                self._held = self._held._replace(confirmed_at=confirmed_at)
            await self._admission.send(ConfigurationSeen(None, as_of))

    def _has_same_evacuations(self, event: ConfigurationConfirmed) -> bool:
        if self._evacuations is None:
            return True
        return event.evacuated_domains == self._evacuations.domains

    async def _publish(self, outcome: HttpOutcome) -> None:
        is_read = self._version is None
        self._version = newest_version(outcome.body)
        self._confirmed_at = current_time()
        store_now_s = store_time_s(outcome.body)
        self._clock = update_offset(self._clock, store_now_s, seconds_since_boot())
        all_rows = tuple(decode_rows(outcome.body))
        await self._publish_evacuations(all_rows, is_read)
        rows = [row for row in all_rows if row.key == KEY]
        if is_read and not rows:
            self._stored = None
        for row in rows:
            if not row.deleted:
                self._stored = self._decode(row) or self._stored
        if self._stored is None:
            return
        choice = self._choose(self._stored, to_local_time(self._clock, store_now_s))
        if choice is not ConfigurationChoice.KEEP:
            await self._use(self._stored, choice, store_now_s, is_read)

    async def _publish_evacuations(
        self, rows: tuple[StoreRow, ...], is_read: bool
    ) -> None:
        """Report the evacuations if they have changed.

        The feed reports a change at once. A change that a read finds may have been
        accepted at any time since the last confirmation.
        """
        if self._evacuations is None:
            return
        now = begun_at = seconds_since_boot()
        if is_read:
            begun_at = self._held.confirmed_at if self._held is not None else -inf
        seen = self._evacuations.update(
            rows, is_read, self._epoch.number, begun_at, now
        )
        if seen is not None:
            await self._router.send(seen)

    def _choose(self, stored: FleetConfiguration, as_of: float) -> ConfigurationChoice:
        epoch = self._epoch.number
        choice = choose_configuration(self._held, stored, epoch, as_of, self._max_age_s)
        if self._held is not None and choice is not self._last_choice:
            logging.info(
                "configuration: choice=%s stored=%d held=%d epoch=%d held_epoch=%d "
                "age_ms=%d",
                choice.value,
                stored.version,
                self._held.configuration.version,
                epoch,
                self._held.epoch,
                1000 * (as_of - self._held.confirmed_at),
            )
        self._last_choice = choice
        return choice

    async def _use(
        self,
        stored: FleetConfiguration,
        choice: ConfigurationChoice,
        store_now_s: float,
        is_read: bool,
    ) -> None:
        """Report the stored configuration, which is the one in use from now on."""
        as_of = to_local_time(self._clock, store_now_s)
        self._held = HeldConfiguration(stored, self._epoch.number, as_of)
        is_new = choice is ConfigurationChoice.TAKE
        way = ConfigurationWay.READ if is_read else ConfigurationWay.FEED
        seen = ConfigurationSeen(stored if is_new else None, as_of, way)
        await self._admission.send(seen)
        if is_new:
            self._regions.report(stored)
            await self._router.send(seen)
        if self._rank == 0 or is_read:
            self._relay(stored.version, store_now_s)

    def _relay(self, version: int, store_now_s: float) -> None:
        """Pass the confirmation on to the other instances of the failure domain."""
        domains = self._evacuations.domains if self._evacuations is not None else None
        message = ConfigurationConfirmed(version, store_now_s, domains)
        try:
            self._peers.send_nowait(BroadcastDatagram(message, same_domain_only=True))
        except WouldBlock:
            # The next confirmation is passed on.
            return

    def _decode(self, row: StoreRow) -> FleetConfiguration | None:
        """Decode a row; one that can't be read leaves the last good one in use."""
        try:
            return decode_configuration(row.value)
        except ValueError as error:
            if row.version != self._ignored_row:
                self._ignored_row = row.version
                logging.error(
                    "configuration: row ignored row_version=%d reason=%r",
                    row.version,
                    str(error),
                )
            return None
