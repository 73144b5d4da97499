"""Registration of this instance, and the list of all instances."""

from absl import logging
from msgspec.json import encode
from trio import MemorySendChannel, current_time, sleep

from jackdawspread.messages.fleet.acknowledgement_event import AcknowledgementEvent
from jackdawspread.messages.fleet.configuration_event import ConfigurationEvent
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.instance_registered import InstanceRegistered
from jackdawspread.messages.fleet.member_poll_event import MemberPollEvent
from jackdawspread.messages.fleet.peer_event import PeerEvent
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.promotion_poll_event import PromotionPollEvent
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.fleet.store_clock_sampled import StoreClockSampled
from jackdawspread.messages.fleet.stored_record import StoredRecord
from jackdawspread.messages.pool_hosts.lease_broker_event import LeaseBrokerEvent
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.decode_instance_entry import (
    INSTANCE_PREFIX,
    decode_instance_entry,
)
from jackdawspread.tasks.fleet.record_client import RecordClient

REGISTRATION_INTERVAL_S = 60.0
# Instances that start at the same time have registered after this time.
SETTLING_S = 2.0
# An entry that was not written again for this long is dropped, and removed by the
# instance with the smallest id; longer than two registrations.
ENTRY_TTL_S = 150.0
RETRY_DELAY_S = 2.0


class InstanceDirectory:
    """Registers this instance in the store, and reads which others there are.

    The list only directs messages. The fence of a promotion reads the registered
    instances from the store itself.

    Parameters
    ----------
    instance : str
        Id of this instance.
    entry : InstanceEntry
        Address and failure domain of this instance.
    is_first_start : bool
        Whether no instance can have registered yet.
    records : RecordClient
        Access to the store.
    router, broker, members, configurations, peers : trio.MemorySendChannel
        Receive the list of the instances.
    promotions : trio.MemorySendChannel
        Receives the list, and the store's clock at each registration.
    acknowledgements : trio.MemorySendChannel
        Receives a report of each registration.
    """

    def __init__(
        self,
        instance: str,
        entry: InstanceEntry,
        is_first_start: bool,
        records: RecordClient,
        router: MemorySendChannel[RouterEvent],
        broker: MemorySendChannel[LeaseBrokerEvent],
        members: MemorySendChannel[MemberPollEvent],
        configurations: MemorySendChannel[ConfigurationEvent],
        peers: MemorySendChannel[PeerEvent],
        promotions: MemorySendChannel[PromotionPollEvent],
        acknowledgements: MemorySendChannel[AcknowledgementEvent],
    ) -> None:
        self._instance = instance
        self._entry = entry
        self._is_first_start = is_first_start
        self._records = records
        self._router = router
        self._broker = broker
        self._members = members
        self._configurations = configurations
        self._peers = peers
        self._promotions = promotions
        self._acknowledgements = acknowledgements
        # Version of each entry, and the monotonic time until which it counts.
        self._version_by_instance: dict[str, int] = {}
        self._valid_until_by_instance: dict[str, float] = {}

    async def run(self) -> None:
        """Register and read the list until cancelled.

        A restarted instance finds the others in the list at once: they were registered
        before, even if they restart at the same time.
        """
        is_listed = not self._is_first_start and await self._read()
        while True:
            if not await self._register():
                await sleep(RETRY_DELAY_S)
                continue
            if not is_listed:
                await sleep(SETTLING_S)
                if not await self._read():
                    await sleep(RETRY_DELAY_S)
                    continue
            is_listed = False
            await sleep(REGISTRATION_INTERVAL_S)

    async def _register(self) -> bool:
        """Write and report the registration; return whether the store has it."""
        sent_at = seconds_since_boot()
        name = f"{INSTANCE_PREFIX}{self._instance}"
        outcome = await self._records.put(name, encode(self._entry))
        if outcome.status is not RecordStatus.DONE:
            return False
        received_at = seconds_since_boot()
        await self._acknowledgements.send(
            InstanceRegistered(sent_at, received_at, outcome.epoch)
        )
        if outcome.store_time_s:
            sample = StoreClockSampled(outcome.store_time_s, sent_at, received_at)
            await self._promotions.send(sample)
        return True

    async def _read(self) -> bool:
        """Read and publish the list; return whether this instance is in it."""
        records = await self._records.list(INSTANCE_PREFIX)
        if not records:
            return False
        for record in await self._publish(records):
            await self._records.remove(record.name, record.version)
        return any(
            record.name == f"{INSTANCE_PREFIX}{self._instance}" for record in records
        )

    async def _publish(self, records: list[StoredRecord]) -> list[StoredRecord]:
        """Publish the list; return the expired entries that this instance removes."""
        now = current_time()
        entry_by_instance = {self._instance: self._entry}
        expired = []
        for record in records:
            instance = record.name.removeprefix(INSTANCE_PREFIX)
            if record.version != self._version_by_instance.get(instance):
                self._version_by_instance[instance] = record.version
                self._valid_until_by_instance[instance] = now + ENTRY_TTL_S
            entry = decode_instance_entry(record)
            if now >= self._valid_until_by_instance[instance]:
                expired.append(record)
            elif entry is not None:
                entry_by_instance[instance] = entry
        logging.info("instance: fleet read instances=%d", len(entry_by_instance))
        seen = PeersSeen(entry_by_instance)
        await self._peers.send(seen)
        await self._members.send(seen)
        await self._configurations.send(seen)
        await self._router.send(seen)
        await self._broker.send(seen)
        await self._promotions.send(seen)
        return expired if self._instance == min(entry_by_instance) else []
