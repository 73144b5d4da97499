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
# The holder stops this much before others may take its shares.
HOLD_MARGIN_S = 1.0


class SharesTask:
    """Owns this instance's entry in the record of shares.

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
        Takes the shares held.
    router : trio.MemorySendChannel
        Takes the number of instances.
    loans : trio.MemorySendChannel
        Takes the addresses of the peers.
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
        self._known = RecordOutcome(RecordStatus.UNKNOWN)
        self._clock = StoreClockOffset()
        self._held_until = 0.0
        self._starved_pause_s = MIN_RENEWAL_INTERVAL_S

    async def run(self) -> None:
        """Renew the shares until cancelled."""
        renewed_at, pause_s = -RENEWAL_INTERVAL_S, 0.0
        async for demand in self._demand:
            wanted_s = pause_s
            if demand.starved:
                wanted_s = min(pause_s, self._starved_pause_s)
            if current_time() - renewed_at < wanted_s:
                continue
            renewed_at = current_time()
            renewed = await self._renew(demand)
            pause_s = RENEWAL_INTERVAL_S if renewed else FAILED_RENEWAL_DELAY_S

    async def _renew(self, demand: DemandReport) -> bool:
        needed = needed_fractions(demand.rate_by_workspace, demand.limit_by_workspace)
        for _ in range(MAX_CONFLICTS):
            if self._known.status is RecordStatus.UNKNOWN:
                self._remember(await self._records.read(RECORD))
                if self._known.status is RecordStatus.UNKNOWN:
                    return False
            asked_at = seconds_since_boot()
            store_time_s = to_store_time(self._clock, asked_at)
            before = self._book()
            book = rebalance(
                before, self._instance, self._address, needed, store_time_s
            )
            # What is lowered is given up before the others can take it.
            await self._announce(
                _common(self._held(before), book[self._instance]["held"])
            )
            outcome = await self._records.write(
                RECORD, self._known.version, encode(book)
            )
            if outcome.status is RecordStatus.DONE:
                self._remember(outcome._replace(value=encode(book)))
                self._held_until = asked_at + SHARE_TTL_S - HOLD_MARGIN_S
                held = book[self._instance]["held"]
                self._starved_pause_s = shortage_renewal_interval(
                    self._starved_pause_s, self._held(before), held
                )
                await self._announce(held)
                await self._router.send(InstancesSeen(len(book)))
                await self._loans.send(self._peers(book))
                return True
            self._remember(outcome)
            if outcome.status is RecordStatus.REFUSED:
                return False
        logging.warning("shares: not renewed, conflicts=%d", MAX_CONFLICTS)
        return False

    def _remember(self, outcome: RecordOutcome) -> None:
        """Keep what the store said; after a lost answer the record is read again."""
        if outcome.store_time_s:
            self._clock = update_offset(
                self._clock, outcome.store_time_s, seconds_since_boot()
            )
        if outcome.status in (RecordStatus.DONE, RecordStatus.CONFLICT):
            self._known = outcome._replace(status=RecordStatus.DONE)
        elif outcome.status is RecordStatus.UNKNOWN:
            logging.warning("shares: no answer from the store")
            self._known = RecordOutcome(RecordStatus.UNKNOWN)

    def _book(self) -> ShareRecord:
        if not self._known.value:
            return {}
        try:
            return decode(self._known.value, type=ShareRecord)
        except (DecodeError, ValidationError) as error:
            logging.error("shares: unreadable record replaced reason=%r", error)
            return {}

    def _peers(self, book: ShareRecord) -> PeersSeen:
        return PeersSeen(
            frozenset(
                holder["address"]
                for name, holder in book.items()
                if name != self._instance
            )
        )

    def _held(self, book: ShareRecord) -> dict[str, float]:
        return book[self._instance]["held"] if self._instance in book else {}

    async def _announce(self, held: dict[str, float]) -> None:
        await self._admission.send(SharesHeld(dict(held), self._held_until))


def _common(before: dict[str, float], after: dict[str, float]) -> dict[str, float]:
    """Return the shares that are held both before and after a renewal."""
    return {
        workspace: min(fraction, after.get(workspace, 0.0))
        for workspace, fraction in before.items()
    }
