"""Reads the promotion states of all groups from the platform's store."""

from functools import singledispatchmethod

from absl import logging
from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    WouldBlock,
    current_time,
    move_on_at,
    open_nursery,
)

from jackdawspread.codecs.peer_datagrams import MAX_DATAGRAM_BYTES, encode_datagram
from jackdawspread.decisions.store_reads.domain_rank import MAX_RANK
from jackdawspread.decisions.store_reads.fleet_rank import rank_in_fleet
from jackdawspread.decisions.store_reads.promotion_poll_schedule import (
    next_promotion_read_at,
)
from jackdawspread.decisions.store_reads.store_clock_bound import (
    StoreClockBound,
    to_earlier_local_time,
    update_bound,
)
from jackdawspread.messages.fleet.acknowledgement_event import AcknowledgementEvent
from jackdawspread.messages.fleet.broadcast_datagram import BroadcastDatagram
from jackdawspread.messages.fleet.peer_event import PeerEvent
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.promotion_poll_event import PromotionPollEvent
from jackdawspread.messages.fleet.promotion_states_relayed import (
    PromotionStatesRelayed,
)
from jackdawspread.messages.fleet.promotion_states_seen import PromotionStatesSeen
from jackdawspread.messages.fleet.store_clock_sampled import StoreClockSampled
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform.epoch_marker import PREFIX as MARKER_PREFIX
from jackdawspread.platform.epoch_marker import epoch_age_s
from jackdawspread.platform.epoch_tracker import read_epoch
from jackdawspread.platform.promotion_rows import PREFIX, PromotionRows
from jackdawspread.platform.read_rows import OK, read_rows
from jackdawspread.platform.store_availability import StoreAvailability
from jackdawspread.platform.store_entries import TABLE
from jackdawspread.platform.store_rows import store_time_s
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.http_client import HttpClient

READ_TIMEOUT_S = 1.0


class PromotionStatePoll:
    """Reads the records of the promotion locks unless others pass them on.

    One instance reads every second for the whole fleet. The first instance of each
    other failure domain is next when it hears nothing.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    instance, failure_domain : str
        Id and failure domain of this instance.
    inbox : trio.MemoryReceiveChannel
        States that others have read, the instances, and samples of the store's clock.
    acknowledgements : trio.MemorySendChannel
        Receives the states.
    peers : trio.MemorySendChannel
        Inbox of the peers task.
    is_first_start : bool
        Whether the whole fleet starts for the first time, before it has callers. Else
        the instance reads as soon as it is registered, to get a permit.
    """

    def __init__(
        self,
        address: str,
        instance: str,
        failure_domain: str,
        inbox: MemoryReceiveChannel[PromotionPollEvent],
        acknowledgements: MemorySendChannel[AcknowledgementEvent],
        peers: MemorySendChannel[PeerEvent],
        is_first_start: bool = True,
    ) -> None:
        self._address = address
        self._instance = instance
        self._failure_domain = failure_domain
        self._inbox = inbox
        self._acknowledgements = acknowledgements
        self._peers = peers
        self._availability = StoreAvailability("promotions")
        self._rows = PromotionRows()
        self._clock = StoreClockBound()
        # None until the other instances are known.
        self._rank: int | None = None
        self._epoch = 0
        # Boot-clock time in seconds of the newest states.
        self._as_of = 0.0
        # Monotonic times in seconds of the last read, also a failed one, and of the
        # last newer states from another instance.
        self._attempted_at = 0.0
        self._heard_at = 0.0
        # Whether the last read gave no states.
        self._has_failed = False
        self._is_too_long = False
        self._reads_when_registered = not is_first_start
        self._must_read = False
        # Answers with the pages of the current read.
        self._pages: list[HttpOutcome] = []

    async def run(self) -> None:
        """Keep the states up to date until cancelled."""
        self._heard_at = current_time()
        async with open_nursery() as connections:
            client = HttpClient(self._address, connections)
            while True:
                while (due_at := self._next_read_at()) > current_time():
                    event = None
                    with move_on_at(due_at):
                        event = await self._inbox.receive()
                    if event is not None:
                        await self._handle(event)
                await self._read(client)

    def _next_read_at(self) -> float:
        if self._must_read:
            return 0.0
        rank = MAX_RANK if self._rank is None else self._rank
        return next_promotion_read_at(
            rank, self._heard_at, self._attempted_at, self._has_failed
        )

    @singledispatchmethod
    async def _handle(self, event: object) -> None:
        raise TypeError(f"the promotion poll does not handle {type(event).__name__}")

    @_handle.register
    async def _(self, event: PeersSeen) -> None:
        if self._rank is None:
            # Instances that start together learn of each other at the same time. The
            # ones after the first then wait for its first read.
            self._heard_at = current_time()
        self._rank = rank_in_fleet(
            self._instance, self._failure_domain, event.entry_by_instance
        )

    @_handle.register
    async def _(self, event: StoreClockSampled) -> None:
        self._clock = update_bound(self._clock, *event)
        # The sample comes with the first registration.
        self._must_read, self._reads_when_registered = (
            self._reads_when_registered,
            False,
        )

    @_handle.register
    async def _(self, event: PromotionStatesRelayed) -> None:
        now = seconds_since_boot()
        as_of = to_earlier_local_time(self._clock, event.store_time_s, now)
        # A time in the future is wrong, for example after the store's clock was set
        # back. It must not hide the reads that follow.
        if self._as_of < as_of <= now and event.epoch >= self._epoch:
            self._heard_at = current_time()
            seen = PromotionStatesSeen(
                event.epoch, as_of, event.states, event.epoch_age_s
            )
            await self._publish(seen)

    async def _read(self, client: HttpClient) -> None:
        self._must_read = False
        self._attempted_at, requested_at = current_time(), seconds_since_boot()
        self._pages, self._has_failed = [], True
        # One call reads the marker of the epoch too, whose key is the next in order.
        rows = await read_rows(
            client, TABLE, PREFIX, READ_TIMEOUT_S, self._report, MARKER_PREFIX
        )
        if rows is None or not self._pages:
            return
        first = self._pages[0]
        now_s, epoch = store_time_s(first.body), read_epoch(first)
        if any(read_epoch(page) != epoch for page in self._pages):
            logging.info("promotions: not used, the store was restored during the read")
            return
        self._clock = update_bound(self._clock, now_s, requested_at, first.began_at)
        # The store's time less the time that the call took is not after the request.
        requested_s = now_s - (first.began_at - requested_at)
        states = self._rows.decode(rows, epoch, requested_s)
        if states is None or epoch < self._epoch:
            return
        self._has_failed = False
        age_s = epoch_age_s(rows, epoch, requested_s)
        await self._publish(PromotionStatesSeen(epoch, requested_at, states, age_s))
        self._relay(
            PromotionStatesRelayed(self._instance, epoch, requested_s, states, age_s)
        )

    def _report(self, outcome: HttpOutcome) -> None:
        reason = outcome.error or f"status {outcome.status}"
        self._availability.report(outcome.status == OK, reason, current_time())
        if outcome.status == OK:
            self._pages.append(outcome)

    async def _publish(self, seen: PromotionStatesSeen) -> None:
        self._epoch, self._as_of = seen.epoch, seen.as_of
        await self._acknowledgements.send(seen)

    def _relay(self, message: PromotionStatesRelayed) -> None:
        """Pass the states on to all other instances.

        A part of the states is never sent, since a group that is missing counts as one
        without a record.
        """
        length = len(encode_datagram(message))
        was_too_long, self._is_too_long = self._is_too_long, length > MAX_DATAGRAM_BYTES
        if self._is_too_long:
            if not was_too_long:
                logging.warning(
                    "promotions: states not passed on, too long groups=%d bytes=%d",
                    len(message.states),
                    length,
                )
            return
        try:
            self._peers.send_nowait(BroadcastDatagram(message, same_domain_only=False))
        except WouldBlock:
            # The next read is passed on.
            return
