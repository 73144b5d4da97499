"""Exchange of the instances' capacities through the store."""

from functools import singledispatchmethod
from math import inf, isfinite

from absl import logging
from msgspec.json import encode
from trio import MemoryReceiveChannel, MemorySendChannel, current_time, move_on_at

from jackdawspread.codecs.stored_json import decode_stored
from jackdawspread.decisions.placement.unused_capacities import unused_capacities
from jackdawspread.messages.fleet.capacities_seen import CapacitiesSeen
from jackdawspread.messages.fleet.capacity_event import CapacityEvent
from jackdawspread.messages.fleet.instance_capacity import InstanceCapacity
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.placement_changed import PlacementChanged
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.fleet.stored_record import StoredRecord
from jackdawspread.messages.pool_hosts.lease_broker_event import LeaseBrokerEvent
from jackdawspread.tasks.fleet.record_client import RecordClient

# Separate from the entries in the list of instances, which instances of an earlier
# version could not read with another field.
PREFIX = "capacity-"
READ_INTERVAL_S = 60.0
# Instances that start at the same time have written their capacities after this time.
SETTLING_S = 2.0


class CapacityExchange:
    """Publishes the capacity of this instance, and reads those of the others.

    It does so only where each failure domain has pool hosts of its own. The capacities
    only direct messages; no promise depends on them.

    Parameters
    ----------
    instance : str
        Id of this instance.
    capacity : InstanceCapacity
        Resources of this instance's machine.
    is_first_start : bool
        Whether no instance can have written its capacity yet.
    records : RecordClient
        Access to the store.
    inbox : trio.MemoryReceiveChannel
        Changes of the placement and of the list of instances.
    router, broker : trio.MemorySendChannel
        Receive the capacities.
    """

    def __init__(
        self,
        instance: str,
        capacity: InstanceCapacity,
        is_first_start: bool,
        records: RecordClient,
        inbox: MemoryReceiveChannel[CapacityEvent],
        router: MemorySendChannel[RouterEvent],
        broker: MemorySendChannel[LeaseBrokerEvent],
    ) -> None:
        self._instance = instance
        self._capacity = capacity
        self._is_first_start = is_first_start
        self._records = records
        self._inbox = inbox
        self._router = router
        self._broker = broker
        self._listed: frozenset[str] = frozenset()
        self._unlisted: frozenset[str] = frozenset()
        self._is_written = False
        # Monotonic time of the next read.
        self._read_at = inf

    async def run(self) -> None:
        """Write once, and read at intervals, until cancelled."""
        while True:
            with move_on_at(self._read_at):
                self._handle(await self._inbox.receive())
                continue
            await self._exchange()

    @singledispatchmethod
    def _handle(self, event: object) -> None:
        raise TypeError(f"capacities do not handle {type(event).__name__}")

    @_handle.register
    def _(self, event: PeersSeen) -> None:
        self._listed = frozenset(event.entry_by_instance)

    @_handle.register
    def _(self, event: PlacementChanged) -> None:
        self._read_at = current_time() if event.is_domain_aware else inf

    async def _exchange(self) -> None:
        """Read the capacities, and write that of this instance if it is missing.

        At the first start of the fleet all are missing, so it writes before it reads.
        """
        is_stored = False
        if self._is_written or not self._is_first_start:
            records = await self._records.list(PREFIX) or []
            is_stored = any(self._is_own(record) for record in records)
            await self._publish(records)
        if not is_stored:
            name = f"{PREFIX}{self._instance}"
            outcome = await self._records.put(name, encode(self._capacity))
            self._is_written = outcome.status is RecordStatus.DONE
        delay_s = READ_INTERVAL_S if is_stored else SETTLING_S
        self._read_at = current_time() + delay_s

    def _is_own(self, record: StoredRecord) -> bool:
        is_own = record.name == f"{PREFIX}{self._instance}"
        return is_own and record.value == encode(self._capacity)

    async def _publish(self, records: list[StoredRecord]) -> None:
        if not records:
            return
        record_by_instance = {
            record.name.removeprefix(PREFIX): record for record in records
        }
        capacity_by_instance = {}
        for instance, record in record_by_instance.items():
            capacity = _decode_capacity(record)
            if capacity is not None:
                capacity_by_instance[instance] = capacity
        logging.info("instance: capacities read count=%d", len(capacity_by_instance))
        seen = CapacitiesSeen(capacity_by_instance)
        await self._router.send(seen)
        await self._broker.send(seen)
        removable, self._unlisted = unused_capacities(
            record_by_instance.keys(), self._listed, self._unlisted, self._instance
        )
        for instance in removable:
            record = record_by_instance[instance]
            await self._records.remove(record.name, record.version)


def _decode_capacity(record: StoredRecord) -> InstanceCapacity | None:
    try:
        capacity = decode_stored(record.value, InstanceCapacity)
        if not all(isfinite(value) and value > 0 for value in capacity):
            raise ValueError(f"not a capacity: {capacity}")
        return capacity
    except ValueError as error:
        logging.error("instance: entry ignored name=%s reason=%r", record.name, error)
        return None
