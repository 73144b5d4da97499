"""Keeps the configuration of this instance up to date."""

from functools import singledispatchmethod

from absl import logging
from trio import BrokenResourceError, MemoryReceiveChannel, move_on_at

from jackdawspread.decisions.store_reads.configuration_choice import (
    ConfigurationChoice,
)
from jackdawspread.decisions.store_reads.held_configuration import HeldConfiguration
from jackdawspread.messages.fleet.configuration_confirmed import ConfigurationConfirmed
from jackdawspread.messages.fleet.configuration_copy import ConfigurationCopy
from jackdawspread.messages.fleet.configuration_copy_query import (
    ConfigurationCopyQuery,
)
from jackdawspread.messages.fleet.configuration_digest import ConfigurationDigest
from jackdawspread.messages.fleet.configuration_event import ConfigurationEvent
from jackdawspread.messages.fleet.configuration_fetched import ConfigurationFetched
from jackdawspread.messages.fleet.configuration_revision import NO_REVISION
from jackdawspread.messages.fleet.configuration_way import ConfigurationWay
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.store_reading_failed import StoreReadingFailed
from jackdawspread.messages.fleet.stored_configuration_seen import (
    StoredConfigurationSeen,
)
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.configuration_exchange import ConfigurationExchange
from jackdawspread.tasks.fleet.configuration_fetches import ConfigurationFetches
from jackdawspread.tasks.fleet.configuration_in_use import (
    CLOCK_MARGIN_S,
    ConfigurationInUse,
)


class ConfigurationKeeper:
    """Owns the configuration, and gets a newer one from the store or from a peer.

    Parameters
    ----------
    in_use : ConfigurationInUse
        The configuration that this instance uses.
    exchange : ConfigurationExchange
        Decides who reads the store, and speaks to the other instances.
    fetches : ConfigurationFetches
        Gets copies from the other instances.
    inbox : trio.MemoryReceiveChannel
        Answers of the store, digests of other instances, copies and queries for them.
    """

    def __init__(
        self,
        in_use: ConfigurationInUse,
        exchange: ConfigurationExchange,
        fetches: ConfigurationFetches,
        inbox: MemoryReceiveChannel[ConfigurationEvent],
    ) -> None:
        self._in_use = in_use
        self._exchange = exchange
        self._fetches = fetches
        self._inbox = inbox
        # What the store had in its last answer to this instance.
        self._stored: FleetConfiguration | None = None
        self._stored_revision = NO_REVISION

    async def run(self) -> None:
        """Handle events until cancelled."""
        while True:
            event = None
            with move_on_at(self._exchange.next_tick_at):
                event = await self._inbox.receive()
            if event is not None:
                await self._handle(event)
            begins = await self._exchange.tick(self._in_use.held, self._in_use.domains)
            if begins and self._in_use.held is not None:
                # The store goes on from what this instance holds.
                self._stored = self._in_use.held.configuration
                self._stored_revision = self._in_use.held.revision
            self._fetches.start_if_needed()

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
        in_use = self._in_use
        await in_use.update_clock(event.store_time_s, event.received_at)
        is_complete = event.way is ConfigurationWay.READ
        await in_use.update_evacuations(
            event.evacuation_version_by_domain, is_complete, event.epoch
        )
        self._exchange.store_answered()
        if event.is_absent or event.configuration is not None:
            self._stored = event.configuration
            self._stored_revision = event.revision
        if self._stored is not None:
            await self._consider_stored(event)
        if event.is_absent:
            # An answer may have a version and its removal.
            self._stored = None

    async def _consider_stored(self, event: StoredConfigurationSeen) -> None:
        """Use or confirm what the store had in an answer."""
        assert self._stored is not None
        in_use = self._in_use
        found = HeldConfiguration(
            self._stored,
            self._stored_revision,
            event.epoch,
            in_use.to_local_time(event.store_time_s),
            event.store_time_s,
            event.store_version,
        )
        await self._consider(found, event.way)
        if in_use.held is not None and in_use.held.confirmed_s == event.store_time_s:
            version = in_use.held.revision.version
            self._exchange.confirm_to_earlier_versions(
                ConfigurationConfirmed(version, event.store_time_s, in_use.domains)
            )

    async def _consider(self, found: HeldConfiguration, way: ConfigurationWay) -> None:
        choice = await self._in_use.consider(found, way)
        if choice is ConfigurationChoice.TAKE:
            self._exchange.configuration_taken()
        elif choice is ConfigurationChoice.CONFIRM:
            self._exchange.configuration_confirmed()

    @_handle.register
    async def _(self, digest: ConfigurationDigest) -> None:
        now = seconds_since_boot()
        as_of = self._in_use.to_local_time(digest.confirmed_s)
        if as_of > now + CLOCK_MARGIN_S:
            logging.warning(
                "configuration: digest from the future ignored peer=%s ahead_s=%.1f",
                digest.instance,
                as_of - now,
            )
            return
        self._exchange.receive(digest, self._in_use.held, self._in_use.domains)
        if digest.revision != NO_REVISION:
            await self._compare(digest, min(as_of, now))

    async def _compare(self, digest: ConfigurationDigest, as_of: float) -> None:
        """Compare what another instance holds with what this one holds."""
        choice = self._in_use.choose(digest.revision, digest.epoch, as_of)
        if choice is ConfigurationChoice.TAKE:
            version = digest.revision.version
            await self._in_use.report_newer(version, digest.instance)
        elif choice is ConfigurationChoice.CONFIRM:
            assert self._in_use.held is not None
            knows_same = digest.evacuated_domains == self._in_use.domains
            confirmed = self._in_use.held._replace(
                epoch=digest.epoch,
                confirmed_at=as_of,
                confirmed_s=digest.confirmed_s,
                store_version=digest.store_version if knows_same else 0,
            )
            if await self._in_use.confirm(confirmed):
                self._exchange.configuration_confirmed()

    @_handle.register
    async def _(self, event: ConfigurationFetched) -> None:
        self._fetches.end()
        before = self._in_use.revision, self._in_use.domains
        if event.copy is not None:
            await self._use(event.source, event.copy)
        if before == (self._in_use.revision, self._in_use.domains):
            # The fetch has failed, or would bring the same again.
            self._exchange.avoid(event.source)

    async def _use(self, source: str, copy: ConfigurationCopy) -> None:
        try:
            found = self._fetches.decode(copy)
        except ValueError as error:
            logging.error(
                "configuration: copy ignored peer=%s reason=%r", source, str(error)
            )
            return
        if found is None:
            return
        requested = copy.evacuation_version_by_domain
        if requested is None and self._in_use.domains is not None:
            found = found._replace(store_version=0)
        elif requested is not None and not self._is_older(found):
            await self._in_use.update_evacuations(requested, True, copy.epoch)
        await self._consider(found, ConfigurationWay.PEER)

    def _is_older(self, found: HeldConfiguration) -> bool:
        """Whether a copy is from before what this instance knows."""
        held = self._in_use.held
        return held is not None and (found.epoch, found.store_version) < (
            held.epoch,
            held.store_version,
        )

    @_handle.register
    async def _(self, event: ConfigurationCopyQuery) -> None:
        try:
            event.reply_to.send_nowait(self._in_use.copy(event.base))
        except BrokenResourceError:
            logging.vlog(1, "configuration: copy dropped, the other instance has gone")
