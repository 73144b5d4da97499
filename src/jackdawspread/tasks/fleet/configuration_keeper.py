"""Keeps the configuration of this instance up to date."""

from collections.abc import Callable, Mapping
from functools import singledispatchmethod
from math import inf
from random import random

from absl import logging
from trio import (
    BrokenResourceError,
    MemoryReceiveChannel,
    MemorySendChannel,
    move_on_at,
)

from jackdawspread.codecs.configuration_copies import decode_changes
from jackdawspread.decisions.store_reads.configuration_changes import (
    EMPTY_CONFIGURATION,
    apply_changes,
    configuration_changes,
)
from jackdawspread.decisions.store_reads.configuration_choice import (
    ConfigurationChoice,
    choose_configuration,
)
from jackdawspread.decisions.store_reads.copy_source import choose_source
from jackdawspread.decisions.store_reads.held_configuration import HeldConfiguration
from jackdawspread.decisions.store_reads.store_clock_offset import (
    StoreClockOffset,
    to_local_time,
    update_offset,
)
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.configuration_confirmed import ConfigurationConfirmed
from jackdawspread.messages.fleet.configuration_copy import ConfigurationCopy
from jackdawspread.messages.fleet.configuration_copy_query import (
    ConfigurationCopyQuery,
)
from jackdawspread.messages.fleet.configuration_digest import ConfigurationDigest
from jackdawspread.messages.fleet.configuration_digest_received import (
    ConfigurationDigestReceived,
)
from jackdawspread.messages.fleet.configuration_event import ConfigurationEvent
from jackdawspread.messages.fleet.configuration_fetched import ConfigurationFetched
from jackdawspread.messages.fleet.configuration_revision import (
    NO_REVISION,
    ConfigurationRevision,
)
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.configuration_way import ConfigurationWay
from jackdawspread.messages.fleet.fetch_configuration import FetchConfiguration
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.newer_configuration_known import (
    NewerConfigurationKnown,
)
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.fleet.store_reading_failed import StoreReadingFailed
from jackdawspread.messages.fleet.stored_configuration_seen import (
    StoredConfigurationSeen,
)
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.configuration_exchange import ConfigurationExchange
from jackdawspread.tasks.fleet.configuration_history import ConfigurationHistory
from jackdawspread.tasks.fleet.evacuation_tracker import EvacuationTracker

# Two instances know the store's clock with errors below this time.
CLOCK_MARGIN_S = 1.5


class ConfigurationKeeper:
    """Owns the configuration, and gets a newer one from the store or from a peer.

    Parameters
    ----------
    max_age_s : float
        Age in seconds beyond which a configuration may not be used.
    evacuations : EvacuationTracker or None
        Tracks evacuations, which operators request beside the configuration; None if
        there are none.
    check_regions : callable
        Called with each new configuration.
    exchange : ConfigurationExchange
        Decides who reads the store, and speaks to the other instances.
    inbox : trio.MemoryReceiveChannel
        Answers of the store, digests of other instances, copies and queries for them.
    copier : trio.MemorySendChannel
        Inbox of the configuration copier.
    admission, router : trio.MemorySendChannel
        Receive the configuration.
    """

    def __init__(
        self,
        max_age_s: float,
        evacuations: EvacuationTracker | None,
        check_regions: Callable[[FleetConfiguration], None],
        exchange: ConfigurationExchange,
        inbox: MemoryReceiveChannel[ConfigurationEvent],
        copier: MemorySendChannel[FetchConfiguration],
        admission: MemorySendChannel[AdmissionEvent],
        router: MemorySendChannel[RouterEvent],
    ) -> None:
        self._max_age_s = max_age_s
        self._evacuations = evacuations
        self._check_regions = check_regions
        self._exchange = exchange
        self._inbox = inbox
        self._copier = copier
        self._admission = admission
        self._router = router
        self._clock = StoreClockOffset()
        self._history = ConfigurationHistory()
        self._held: HeldConfiguration | None = None
        # What the store had in its last answer to this instance.
        self._stored: FleetConfiguration | None = None
        self._stored_revision = NO_REVISION
        # Newest version that is known to exist, if it is not the one that is held.
        self._newer_known = 0
        self._is_fetching = False

    async def run(self) -> None:
        """Handle events until cancelled."""
        while True:
            event = None
            with move_on_at(self._exchange.next_tick_at):
                event = await self._inbox.receive()
            if event is not None:
                await self._handle(event)
            if await self._exchange.tick(self._held, self._domains):
                # The store goes on from what this instance holds.
                self._store_has_held()
            self._fetch_if_needed()

    @property
    def _domains(self) -> tuple[str, ...] | None:
        return self._evacuations.domains if self._evacuations is not None else None

    @singledispatchmethod
    async def _handle(self, event: object) -> None:
        raise TypeError(f"the keeper does not handle {type(event).__name__}")

    @_handle.register
    async def _(self, event: PeersSeen) -> None:
        self._exchange.update_instances(event.entry_by_instance)

    @_handle.register
    async def _(self, event: StoreReadingFailed) -> None:
        self._exchange.store_failed()

    @_handle.register
    async def _(self, event: StoredConfigurationSeen) -> None:
        self._clock = update_offset(self._clock, event.store_time_s, event.received_at)
        await self._date_held()
        as_of = to_local_time(self._clock, event.store_time_s)
        is_complete = event.way is ConfigurationWay.READ
        await self._update_evacuations(
            event.evacuation_version_by_domain, is_complete, event.epoch
        )
        if event.is_absent:
            self._stored = None
        elif event.configuration is not None:
            self._stored = event.configuration
            self._stored_revision = event.revision
        self._exchange.store_answered()
        if self._stored is not None:
            held = HeldConfiguration(
                self._stored,
                self._stored_revision,
                event.epoch,
                as_of,
                event.store_time_s,
                event.store_version,
            )
            await self._consider(held, event.way)
        if self._held is not None and self._held.confirmed_s == event.store_time_s:
            version = self._held.revision.version
            confirmed = ConfigurationConfirmed(
                version, event.store_time_s, self._domains
            )
            self._exchange.confirm_to_earlier_versions(confirmed)

    async def _date_held(self) -> None:
        """Date a copy that arrived before this instance knew the store's clock."""
        if self._held is not None and self._held.confirmed_at == -inf:
            confirmed_at = to_local_time(self._clock, self._held.confirmed_s)
            self._held = self._held._replace(confirmed_at=confirmed_at)
            await self._admission.send(ConfigurationSeen(None, confirmed_at))

    def _store_has_held(self) -> None:
        if self._held is not None:
            self._stored = self._held.configuration
            self._stored_revision = self._held.revision

    async def _consider(self, found: HeldConfiguration, way: ConfigurationWay) -> None:
        """Use a configuration that the store has or had, if it is to be used."""
        choice = self._choose(found.revision, found.epoch, found.confirmed_at)
        if choice is ConfigurationChoice.TAKE:
            await self._take(found, way)
        elif choice is ConfigurationChoice.CONFIRM:
            await self._confirm(
                found.epoch, found.confirmed_at, found.confirmed_s, found.store_version
            )
        elif self._held is not None and way is not ConfigurationWay.PEER:
            logging.info(
                "configuration: choice=keep stored=%d held=%d epoch=%d held_epoch=%d "
                "age_ms=%.0f",
                found.revision.version,
                self._held.revision.version,
                found.epoch,
                self._held.epoch,
                1000 * (found.confirmed_at - self._held.confirmed_at),
            )

    def _choose(
        self, revision: ConfigurationRevision, epoch: int, as_of: float
    ) -> ConfigurationChoice:
        return choose_configuration(self._held, revision, epoch, as_of, self._max_age_s)

    async def _take(self, found: HeldConfiguration, way: ConfigurationWay) -> None:
        old = self._held.configuration if self._held else EMPTY_CONFIGURATION
        # Unchanged entries are shared with the configuration before.
        changes = configuration_changes(old, found.configuration)
        configuration = apply_changes(old, changes)
        is_restored = self._held is not None and found.epoch > self._held.epoch
        if is_restored or found.revision.version >= self._newer_known:
            self._newer_known = 0
        self._held = found._replace(configuration=configuration)
        self._history.add(found.revision, configuration)
        seen = ConfigurationSeen(configuration, found.confirmed_at, way)
        await self._admission.send(seen)
        self._check_regions(configuration)
        await self._router.send(seen)
        if self._newer_known:
            await self._report_newer(self._newer_known)
        self._exchange.configuration_taken()

    async def _confirm(
        self, epoch: int, as_of: float, confirmed_s: float, store_version: int
    ) -> None:
        assert self._held is not None
        if epoch < self._held.epoch or as_of <= self._held.confirmed_at:
            return
        self._exchange.configuration_confirmed()
        self._held = self._held._replace(
            epoch=epoch,
            confirmed_at=as_of,
            confirmed_s=confirmed_s,
            store_version=max(store_version, self._held.store_version)
            if epoch == self._held.epoch
            else store_version,
        )
        await self._admission.send(ConfigurationSeen(None, as_of))

    async def _update_evacuations(
        self, requested: Mapping[str, int | None], is_complete: bool, epoch: int
    ) -> None:
        """Report the evacuations if they have changed.

        The feed reports a change at once. A change that is found in another way may
        have been accepted at any time since the last confirmation.
        """
        if self._evacuations is None:
            return
        now = begun_at = seconds_since_boot()
        if is_complete:
            begun_at = self._held.confirmed_at if self._held is not None else -inf
        seen = self._evacuations.update(requested, is_complete, epoch, begun_at, now)
        if seen is not None:
            await self._router.send(seen)

    @_handle.register
    async def _(self, event: ConfigurationDigestReceived) -> None:
        digest = event.digest
        as_of = to_local_time(self._clock, digest.confirmed_s)
        now = seconds_since_boot()
        if as_of > now + CLOCK_MARGIN_S:
            logging.warning(
                "configuration: digest from the future ignored peer=%s ahead_s=%.1f",
                digest.instance,
                as_of - now,
            )
            return
        self._exchange.receive(digest, self._held, self._domains)
        if digest.revision == NO_REVISION:
            return
        choice = self._choose(digest.revision, digest.epoch, as_of)
        if choice is ConfigurationChoice.CONFIRM:
            await self._confirm(
                digest.epoch, min(as_of, now), digest.confirmed_s, digest.store_version
            )
        elif choice is ConfigurationChoice.TAKE:
            version = digest.revision.version
            if version > self._newer_known:
                self._newer_known = version
                logging.info(
                    "configuration: newer version known to a peer peer=%s version=%d "
                    "own=%d",
                    digest.instance,
                    version,
                    self._held.revision.version if self._held is not None else 0,
                )
                await self._report_newer(version)

    async def _report_newer(self, version: int) -> None:
        newer = NewerConfigurationKnown(version, seconds_since_boot())
        await self._admission.send(newer)

    def _fetch_if_needed(self) -> None:
        """Fetch from an instance that has something newer, unless a fetch goes on."""
        if self._is_fetching:
            return
        sources = self._exchange.sources(self._is_newer)
        if not sources:
            return
        source = choose_source(sources, random())
        base = self._held.revision if self._held is not None else NO_REVISION
        address = self._exchange.copy_address(source)
        self._copier.send_nowait(FetchConfiguration(source.instance, address, base))
        self._is_fetching = True

    def _is_newer(self, digest: ConfigurationDigest) -> bool:
        if digest.revision == NO_REVISION:
            return False
        as_of = to_local_time(self._clock, digest.confirmed_s)
        choice = self._choose(digest.revision, digest.epoch, as_of)
        if choice is ConfigurationChoice.TAKE or self._held is None:
            return True
        return (
            self._domains is not None
            and digest.evacuated_domains is not None
            and digest.evacuated_domains != self._domains
            and digest.confirmed_s > self._held.confirmed_s
        )

    @_handle.register
    async def _(self, event: ConfigurationFetched) -> None:
        self._is_fetching = False
        if event.copy is None:
            self._exchange.avoid(event.source)
        else:
            await self._use_copy(event.source, event.copy)

    async def _use_copy(self, source: str, copy: ConfigurationCopy) -> None:
        try:
            changes = decode_changes(copy.encoded_changes)
        except ValueError as error:
            logging.error("configuration: copy ignored peer=%s %s", source, error)
            self._exchange.avoid(source)
            return
        base = EMPTY_CONFIGURATION
        if copy.base != NO_REVISION:
            if self._held is None or self._held.revision != copy.base:
                # Another version has arrived meanwhile.
                return
            base = self._held.configuration
        if copy.evacuation_version_by_domain is not None:
            requested: dict[str, int | None] = {**copy.evacuation_version_by_domain}
            await self._update_evacuations(requested, True, copy.epoch)
        as_of = to_local_time(self._clock, copy.confirmed_s)
        found = HeldConfiguration(
            apply_changes(base, changes),
            copy.revision,
            copy.epoch,
            min(as_of, seconds_since_boot()),
            copy.confirmed_s,
            copy.store_version,
        )
        await self._consider(found, ConfigurationWay.PEER)

    @_handle.register
    async def _(self, event: ConfigurationCopyQuery) -> None:
        copy = self._copy(event.base) if self._held is not None else None
        try:
            event.reply_to.send_nowait(copy)
        except BrokenResourceError:
            logging.vlog(1, "configuration: copy dropped, the other instance has gone")

    def _copy(self, requested: ConfigurationRevision) -> ConfigurationCopy:
        assert self._held is not None
        base, encoded = self._history.encoded_changes(requested)
        evacuations = self._evacuations
        return ConfigurationCopy(
            self._held.revision,
            base,
            self._held.epoch,
            self._held.store_version,
            self._held.confirmed_s,
            evacuations.version_by_domain if evacuations is not None else None,
            encoded,
        )
