"""Acquisition and renewal of this instance's rate leases."""

from contextlib import suppress
from math import inf

from absl import logging
from msgspec.json import encode
from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    WouldBlock,
    current_time,
    move_on_at,
    sleep,
)

from jackdawspread.codecs.lease_check import check_leases
from jackdawspread.codecs.stored_json import decode_stored
from jackdawspread.decisions.rate_leases.lease_writes import (
    LEASE_TTL_S,
    carry_over_leases,
    expires_too_late,
    held_parts,
    newest_epoch,
    next_write_at,
    unexpired_parts,
    write_leases,
)
from jackdawspread.decisions.rate_leases.rate_lease_record import RateLeaseRecord
from jackdawspread.decisions.store_reads.store_clock_offset import (
    StoreClockOffset,
    to_local_time,
    to_store_time,
    update_offset,
)
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.broadcast_datagram import BroadcastDatagram
from jackdawspread.messages.fleet.peer_event import PeerEvent
from jackdawspread.messages.fleet.rate_leases_announced import RateLeasesAnnounced
from jackdawspread.messages.fleet.rate_leases_held import RateLeasesHeld
from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.messages.fleet.store_epoch import StoreEpoch
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.record_client import RecordClient

RECORD = "rate-leases"
# An instance stops using a lease this long before it expires in the store, after which
# another instance may claim it.
EXPIRY_MARGIN_S = 1.0
WRITE_RETRY_DELAY_S = 1.0
# Until the record is read, every operation of a restarted instance is refused.
READ_RETRY_DELAY_S = 0.2


class RateLeaseTask:
    """Owns this instance's leases of the workspaces' rates, and renews them.

    The record of all leases is kept in the platform's store. Its writer announces it to
    the other instances, which therefore read it only when they start.

    Parameters
    ----------
    instance : str
        Id of this instance, unique in the fleet.
    address : str
        ``IP:port`` of this instance for its peers.
    records : RecordClient
        Access to the store.
    announcements : trio.MemoryReceiveChannel
        Records that other instances have written.
    admission : trio.MemorySendChannel
        Receives the leases that this instance holds, and the other holders.
    peers : trio.MemorySendChannel
        Inbox of the peers task.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        records: RecordClient,
        announcements: MemoryReceiveChannel[RateLeasesAnnounced],
        admission: MemorySendChannel[AdmissionEvent],
        peers: MemorySendChannel[PeerEvent],
    ) -> None:
        self._instance = instance
        self._address = address
        self._records = records
        self._announcements = announcements
        self._admission = admission
        self._peers = peers
        # Version of the record, and the epoch of the store to which it belongs.
        self._version = 0
        self._epoch = 0
        self._record: RateLeaseRecord = {}
        # Known once it is needed; before, nothing delays a claim.
        self._store_epoch = StoreEpoch(0, -inf)
        self._clock = StoreClockOffset()
        self._known_since = 0.0
        # Whether the record may differ from the one in the store, since the answer to a
        # write was lost.
        self._must_read = True
        self._has_renewed = False

    async def run(self) -> None:
        """Keep the leases until cancelled."""
        while True:
            if self._must_read and not await self._read():
                await sleep(READ_RETRY_DELAY_S)
                continue
            due_in_s = self._next_write_at() - self._store_time()
            announced = None
            with move_on_at(current_time() + max(0.0, due_in_s)):
                announced = await self._announcements.receive()
            if announced is not None:
                await self._adopt(announced)
            elif not await self._write():
                await sleep(WRITE_RETRY_DELAY_S)

    def _store_time(self) -> float:
        return to_store_time(self._clock, seconds_since_boot())

    def _next_write_at(self) -> float:
        return next_write_at(
            self._record,
            self._instance,
            self._known_since,
            self._has_renewed,
            self._store_epoch,
            self._store_time(),
        )

    async def _read(self) -> bool:
        outcome = await self._records.read(RECORD)
        self._update_clock(outcome)
        if outcome.status is RecordStatus.UNKNOWN:
            return False
        self._must_read = False
        self._known_since = self._known_since or self._store_time()
        await self._keep(outcome)
        return True

    async def _write(self) -> bool:
        """Write the record that is due; return whether the store answered."""
        epoch = await self._records.epoch()
        if epoch is None:
            return False
        if epoch != self._store_epoch or epoch.number != self._epoch:
            # The record may have changed, and another time may be due in this epoch.
            self._store_epoch = epoch
            self._must_read = self._must_read or epoch.number != self._epoch
            return True
        record = write_leases(
            self._record,
            self._instance,
            self._address,
            self._known_since,
            epoch,
            self._store_time(),
        )
        outcome = await self._records.write(
            RECORD, self._version, encode(record), epoch.number
        )
        self._update_clock(outcome)
        if outcome.status is RecordStatus.DONE:
            self._has_renewed = True
            self._version, self._record = outcome.version, record
            self._log_holders("written")
            await self._publish()
            message = RateLeasesAnnounced(self._version, record)
            with suppress(WouldBlock):
                self._peers.send_nowait(BroadcastDatagram(message, False))
        elif outcome.status is RecordStatus.CONFLICT:
            logging.info(
                "leases: another instance has written version=%d", self._version
            )
            await self._keep(outcome)
        elif outcome.status is RecordStatus.UNKNOWN:
            logging.warning("leases: the store did not answer a write")
            self._must_read = True
        return outcome.status in (RecordStatus.DONE, RecordStatus.CONFLICT)

    def _update_clock(self, outcome: RecordOutcome) -> None:
        if outcome.store_time_s:
            now = seconds_since_boot()
            self._clock = update_offset(self._clock, outcome.store_time_s, now)

    async def _keep(self, outcome: RecordOutcome) -> None:
        """Keep a record that was read from the store."""
        try:
            record = _decode(outcome.value, self._store_time())
        except ValueError as error:
            logging.error("leases: unreadable record replaced reason=%r", str(error))
            # Its holders may use their leases until these expire.
            record = self._record
            self._known_since = self._store_time() + LEASE_TTL_S
        self._replace(outcome.epoch, outcome.version, record)
        self._log_holders("read")
        await self._publish()

    async def _adopt(self, announced: RateLeasesAnnounced) -> None:
        """Keep a record that another instance has written, if it is newer."""
        if expires_too_late(announced.record, self._store_time()):
            logging.warning("leases: announcement that expires too late ignored")
            return
        epoch = newest_epoch(announced.record) or self._epoch
        if (epoch, announced.version) > (self._epoch, self._version):
            self._replace(epoch, announced.version, announced.record)
            await self._publish()
        elif (epoch, announced.version) < (self._epoch, self._version):
            logging.info(
                "leases: older announcement ignored version=%d known=%d epoch=%d "
                "known_epoch=%d",
                announced.version,
                self._version,
                epoch,
                self._epoch,
            )

    def _replace(self, epoch: int, version: int, record: RateLeaseRecord) -> None:
        """Replace the record, and keep own leases that a restored store has lost."""
        if 0 < self._epoch < epoch:
            now = self._store_time()
            forgotten = record
            record = carry_over_leases(record, self._record, self._instance, now)
            logging.warning(
                "leases: restored record epoch=%d version=%d known_version=%d own=%s "
                "own_in_copy=%s",
                epoch,
                version,
                self._version,
                ",".join(held_parts(record, self._instance)) or "none",
                ",".join(held_parts(forgotten, self._instance)) or "none",
            )
            # The leases are written again at once.
            self._has_renewed = False
        self._epoch, self._version, self._record = epoch, version, record

    async def _publish(self) -> None:
        held = unexpired_parts(self._record, self._instance, self._store_time())
        expires_at = min((self._record[part]["until"] for part in held), default=0.0)
        holders = {
            lease["address"]
            for lease in self._record.values()
            if lease["holder"] != self._instance
        }
        held_until = to_local_time(self._clock, expires_at) - EXPIRY_MARGIN_S
        await self._admission.send(
            RateLeasesHeld(len(held), held_until, tuple(sorted(holders)))
        )

    def _log_holders(self, source: str) -> None:
        logging.info(
            "leases: record %s version=%d held=%s holders=%s",
            source,
            self._version,
            ",".join(held_parts(self._record, self._instance)) or "none",
            ",".join(lease["holder"] for lease in self._record.values()) or "none",
        )


def _decode(value: bytes, store_time_s: float) -> RateLeaseRecord:
    """Decode the stored record; raise ValueError if it can't be used."""
    record = decode_stored(value, RateLeaseRecord) if value else {}
    check_leases(record)
    if expires_too_late(record, store_time_s):
        raise ValueError("a lease expires later than any that an instance writes")
    return record
