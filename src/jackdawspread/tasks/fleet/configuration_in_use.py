"""The configuration that this instance uses."""

from collections.abc import Callable, Mapping
from math import inf

from absl import logging
from trio import MemorySendChannel

from jackdawspread.decisions.store_reads.configuration_changes import (
    EMPTY_CONFIGURATION,
    apply_changes,
    configuration_changes,
)
from jackdawspread.decisions.store_reads.configuration_choice import (
    ConfigurationChoice,
    choose_configuration,
)
from jackdawspread.decisions.store_reads.held_configuration import HeldConfiguration
from jackdawspread.decisions.store_reads.newer_versions import (
    NewerVersions,
    add_version,
    versions_after,
)
from jackdawspread.decisions.store_reads.store_clock_offset import (
    StoreClockOffset,
    to_local_time,
    update_offset,
)
from jackdawspread.messages.fleet.acknowledgement_event import AcknowledgementEvent
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.configuration_copy import ConfigurationCopy
from jackdawspread.messages.fleet.configuration_revision import (
    NO_REVISION,
    ConfigurationRevision,
)
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.configuration_way import ConfigurationWay
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.newer_configuration_known import (
    NewerConfigurationKnown,
)
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.configuration_history import ConfigurationHistory
from jackdawspread.tasks.fleet.evacuation_tracker import EvacuationTracker

# Two instances know the store's clock with errors below this time.
CLOCK_MARGIN_S = 1.5


class ConfigurationInUse:
    """Holds the configuration, and reports each change to admission and the router.

    Only the configuration keeper uses it.

    Parameters
    ----------
    max_age_s : float
        Age in seconds beyond which a configuration may not be used.
    evacuations : EvacuationTracker or None
        Tracks evacuations, which operators request beside the configuration; None if
        there are none.
    check_regions : callable
        Called with each new configuration.
    admission, router, acknowledgements : trio.MemorySendChannel
        Receive the configuration.
    """

    def __init__(
        self,
        max_age_s: float,
        evacuations: EvacuationTracker | None,
        check_regions: Callable[[FleetConfiguration], None],
        admission: MemorySendChannel[AdmissionEvent],
        router: MemorySendChannel[RouterEvent],
        acknowledgements: MemorySendChannel[AcknowledgementEvent],
    ) -> None:
        self._max_age_s = max_age_s
        self._evacuations = evacuations
        self._check_regions = check_regions
        self._admission = admission
        self._router = router
        self._acknowledgements = acknowledgements
        self._clock = StoreClockOffset()
        self._history = ConfigurationHistory()
        self.held: HeldConfiguration | None = None
        self._newer = NewerVersions()

    @property
    def revision(self) -> ConfigurationRevision:
        """Identity of the configuration; ``NO_REVISION`` without one."""
        return self.held.revision if self.held is not None else NO_REVISION

    @property
    def domains(self) -> tuple[str, ...] | None:
        """Evacuated failure domains; None if evacuations are not followed."""
        return self._evacuations.domains if self._evacuations is not None else None

    def to_local_time(self, store_time_s: float) -> float:
        """Return the boot-clock time at a time of the store's clock."""
        return to_local_time(self._clock, store_time_s)

    async def update_clock(self, store_time_s: float, received_at: float) -> None:
        """Compare the clocks when an answer of the store has begun to arrive."""
        self._clock = update_offset(self._clock, store_time_s, received_at)
        if self.held is not None and self.held.confirmed_at == -inf:
            # The copy arrived before this instance knew the store's clock.
            confirmed_at = self.to_local_time(self.held.confirmed_s)
            self.held = self.held._replace(confirmed_at=confirmed_at)
            await self._admission.send(ConfigurationSeen(None, confirmed_at))

    def choose(
        self, revision: ConfigurationRevision, epoch: int, as_of: float
    ) -> ConfigurationChoice:
        """Compare a configuration with the one in use."""
        return choose_configuration(self.held, revision, epoch, as_of, self._max_age_s)

    async def consider(
        self, found: HeldConfiguration, way: ConfigurationWay
    ) -> ConfigurationChoice:
        """Use a configuration that the store has or had, if it is to be used."""
        choice = self.choose(found.revision, found.epoch, found.confirmed_at)
        if choice is ConfigurationChoice.TAKE or (
            choice is ConfigurationChoice.CONFIRM
            and way is not ConfigurationWay.PEER
            and self._differs_in_replicas(found)
        ):
            await self._take(found, way)
        elif choice is ConfigurationChoice.CONFIRM:
            await self.confirm(found)
        elif self.held is not None and way is not ConfigurationWay.PEER:
            logging.info(
                "configuration: choice=keep stored=%d held=%d epoch=%d held_epoch=%d "
                "age_ms=%.0f",
                found.revision.version,
                self.held.revision.version,
                found.epoch,
                self.held.epoch,
                1000 * (found.confirmed_at - self.held.confirmed_at),
            )
        return choice

    def _differs_in_replicas(self, found: HeldConfiguration) -> bool:
        """Whether the held groups are those of a copy from an earlier version.

        Such a copy lacks the numbers of replicas that confirm commits, and the revision
        does not cover them.
        """
        assert self.held is not None
        held = self.held.configuration
        return held.group_by_name != found.configuration.group_by_name

    async def _take(self, found: HeldConfiguration, way: ConfigurationWay) -> None:
        old = self.held.configuration if self.held else EMPTY_CONFIGURATION
        # Unchanged entries are shared with the configuration before.
        changes = configuration_changes(old, found.configuration)
        configuration = apply_changes(old, changes)
        is_restored = self.held is not None and found.epoch > self.held.epoch
        if is_restored:
            self._newer = NewerVersions()
        self.held = found._replace(configuration=configuration)
        self._history.add(found.revision, configuration)
        seen = ConfigurationSeen(configuration, found.confirmed_at, way)
        await self._admission.send(seen)
        self._check_regions(configuration)
        await self._router.send(seen)
        await self._acknowledgements.send(seen)
        await self._check_newer(found.confirmed_at)

    async def confirm(self, found: HeldConfiguration) -> bool:
        """Note that the store had what is held; return whether this is news."""
        assert self.held is not None
        epoch, as_of = found.epoch, found.confirmed_at
        if epoch < self.held.epoch or as_of <= self.held.confirmed_at:
            return False
        store_version = found.store_version
        if epoch == self.held.epoch:
            store_version = max(store_version, self.held.store_version)
        self.held = self.held._replace(
            epoch=epoch,
            confirmed_at=as_of,
            confirmed_s=found.confirmed_s,
            store_version=store_version,
        )
        await self._admission.send(ConfigurationSeen(None, as_of))
        await self._check_newer(as_of)
        return True

    async def report_newer(self, version: int, peer: str) -> None:
        """Note that a newer version exists, as another instance has it."""
        if version <= self._newer.newest:
            return
        self._newer = add_version(self._newer, version, seconds_since_boot())
        logging.info(
            "configuration: newer version known to a peer peer=%s version=%d own=%d",
            peer,
            version,
            self.revision.version,
        )
        await self._send_newer()

    async def _check_newer(self, as_of: float) -> None:
        """Report which newer versions are missing after the store had the held one."""
        newest, version = self._newer.newest, self.revision.version
        if not newest:
            return
        self._newer = versions_after(self._newer, version, as_of - CLOCK_MARGIN_S)
        if newest > version and not self._newer.newest:
            logging.warning(
                "configuration: newer version does not exist version=%d own=%d",
                newest,
                version,
            )
        await self._send_newer()

    async def _send_newer(self) -> None:
        newest = self._newer.newest or self.revision.version
        newer = NewerConfigurationKnown(newest, self._newer.outdated_since)
        await self._admission.send(newer)

    async def update_evacuations(
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
            begun_at = self.held.confirmed_at if self.held is not None else -inf
        seen = self._evacuations.update(requested, is_complete, epoch, begun_at, now)
        if seen is not None:
            await self._router.send(seen)

    def copy(self, requested: ConfigurationRevision) -> ConfigurationCopy | None:
        """Return a copy for an instance that has ``requested``; None without one."""
        if self.held is None:
            return None
        base, encoded = self._history.encoded_changes(requested)
        evacuations = self._evacuations
        return ConfigurationCopy(
            self.held.revision,
            base,
            self.held.epoch,
            self.held.store_version,
            self.held.confirmed_s,
            evacuations.version_by_domain if evacuations is not None else None,
            encoded,
        )
