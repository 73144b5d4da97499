"""Renewal of this instance's shares of the workspaces' rates."""

from absl import logging
from msgspec import DecodeError, ValidationError
from msgspec.json import decode, encode
from trio import MemoryReceiveChannel, MemorySendChannel, current_time

from jackdawspread.decisions.shares.rebalance import (
    SHARE_TTL_S,
    needed_fractions,
    rebalance,
)
from jackdawspread.decisions.shares.renewal_interval import (
    FAILED_RENEWAL_DELAY_S,
    MIN_RENEWAL_INTERVAL_S,
    RENEWAL_INTERVAL_S,
    shortage_renewal_interval,
)
from jackdawspread.decisions.shares.share_record import ShareRecord
from jackdawspread.decisions.shares.store_clock_offset import (
    StoreClockOffset,
    to_store_time,
    update_offset,
)
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.demand_report import DemandReport
from jackdawspread.messages.fleet.instances_seen import InstancesSeen
from jackdawspread.messages.fleet.loan_event import LoanEvent
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.fleet.shares_held import SharesHeld
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.record_client import RecordClient

RECORD = "shares"
MAX_CONFLICTS = 4
# An instance stops using its shares this long before they expire in the store, after
# which other instances may claim them.
SHARE_EXPIRY_MARGIN_S = 1.0


class SharesTask:
    """Owns this instance's entry in the record of shares, and renews it.

    The record is kept in the platform's store. It holds the shares of all instances,
    each of which expires unless its instance renews it.

    Parameters
    ----------
    instance : str
        Name of this instance, unique in the fleet.
    address : str
        ``IP:port`` of this instance for its peers.
    records : RecordClient
        Access to the store.
    demand : trio.MemoryReceiveChannel
        Demand of the workspaces.
    admission : trio.MemorySendChannel
        Receives the shares that this instance holds.
    router : trio.MemorySendChannel
        Receives the number of instances.
    loans : trio.MemorySendChannel
        Receives the addresses of the peers.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        records: RecordClient,
        demand: MemoryReceiveChannel[DemandReport],
        admission: MemorySendChannel[AdmissionEvent],
        router: MemorySendChannel[RouterEvent],
        loans: MemorySendChannel[LoanEvent],
    ) -> None:
        self._instance = instance
        self._address = address
        self._loans = loans
        self._records = records
        self._demand = demand
        self._admission = admission
        self._router = router
        self._last_outcome = RecordOutcome(RecordStatus.UNKNOWN)
        self._clock = StoreClockOffset()
        self._held_until = 0.0
        self._starved_interval_s = MIN_RENEWAL_INTERVAL_S

    async def run(self) -> None:
        """Renew the shares until cancelled."""
        renewed_at, interval_s = -RENEWAL_INTERVAL_S, 0.0
        async for demand in self._demand:
            current_interval_s = interval_s
            if demand.is_starved:
                current_interval_s = min(interval_s, self._starved_interval_s)
            if current_time() - renewed_at < current_interval_s:
                continue
            renewed_at = current_time()
            renewed = await self._renew(demand)
            interval_s = RENEWAL_INTERVAL_S if renewed else FAILED_RENEWAL_DELAY_S

    async def _renew(self, demand: DemandReport) -> bool:
        needed = needed_fractions(demand.rate_by_workspace, demand.limit_by_workspace)
        for _ in range(MAX_CONFLICTS):
            if self._last_outcome.status is RecordStatus.UNKNOWN:
                self._record_outcome(await self._records.read(RECORD))
                if self._last_outcome.status is RecordStatus.UNKNOWN:
                    return False
            requested_at = seconds_since_boot()
            store_time_s = to_store_time(self._clock, requested_at)
            before = self._decode_record()
            record = rebalance(
                before, self._instance, self._address, needed, store_time_s
            )
            # Stop using the shares that the write lowers before other instances can
            # claim them.
            await self._announce(
                _held_throughout(self._held(before), record[self._instance]["held"])
            )
            outcome = await self._records.write(
                RECORD, self._last_outcome.version, encode(record)
            )
            if outcome.status is RecordStatus.DONE:
                self._record_outcome(outcome._replace(value=encode(record)))
                self._held_until = requested_at + SHARE_TTL_S - SHARE_EXPIRY_MARGIN_S
                held = record[self._instance]["held"]
                self._starved_interval_s = shortage_renewal_interval(
                    self._starved_interval_s, self._held(before), held
                )
                await self._announce(held)
                await self._router.send(InstancesSeen(len(record)))
                await self._loans.send(self._peers(record))
                return True
            self._record_outcome(outcome)
            if outcome.status is RecordStatus.REFUSED:
                return False
        logging.warning("shares: not renewed, conflicts=%d", MAX_CONFLICTS)
        return False

    def _record_outcome(self, outcome: RecordOutcome) -> None:
        """Keep the store's answer; after a lost one the record is read again."""
        if outcome.store_time_s:
            self._clock = update_offset(
                self._clock, outcome.store_time_s, seconds_since_boot()
            )
        if outcome.status in (RecordStatus.DONE, RecordStatus.CONFLICT):
            self._last_outcome = outcome._replace(status=RecordStatus.DONE)
        elif outcome.status is RecordStatus.UNKNOWN:
            logging.warning("shares: the store did not answer")
            self._last_outcome = RecordOutcome(RecordStatus.UNKNOWN)

    def _decode_record(self) -> ShareRecord:
        if not self._last_outcome.value:
            return {}
        try:
            return decode(self._last_outcome.value, type=ShareRecord)
        except (DecodeError, ValidationError) as error:
            logging.error("shares: unreadable record replaced reason=%r", error)
            return {}

    def _peers(self, record: ShareRecord) -> PeersSeen:
        return PeersSeen(
            frozenset(
                holder["address"]
                for name, holder in record.items()
                if name != self._instance
            )
        )

    def _held(self, record: ShareRecord) -> dict[str, float]:
        return record[self._instance]["held"] if self._instance in record else {}

    async def _announce(self, held: dict[str, float]) -> None:
        await self._admission.send(SharesHeld(dict(held), self._held_until))


def _held_throughout(
    before: dict[str, float], after: dict[str, float]
) -> dict[str, float]:
    """Return the shares that are held both before and after a renewal."""
    return {
        workspace: min(fraction, after.get(workspace, 0.0))
        for workspace, fraction in before.items()
    }
