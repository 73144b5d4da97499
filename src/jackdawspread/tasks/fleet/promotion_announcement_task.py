"""Announcements of promotion states to the instances of the fleet."""

from functools import partial, singledispatchmethod
from itertools import count

from absl import logging
from trio import (
    Event,
    MemoryReceiveChannel,
    MemorySendChannel,
    Nursery,
    WouldBlock,
    current_time,
    move_on_at,
    open_memory_channel,
    open_nursery,
)

from jackdawspread.messages.fleet.acknowledged_positions import (
    AcknowledgedPositions,
    merge_acknowledged,
)
from jackdawspread.messages.fleet.acknowledgement_event import AcknowledgementEvent
from jackdawspread.messages.fleet.announce_promotion import AnnouncePromotion
from jackdawspread.messages.fleet.announcement_event import AnnouncementEvent
from jackdawspread.messages.fleet.announcement_result import AnnouncementResult
from jackdawspread.messages.fleet.peer_event import PeerEvent
from jackdawspread.messages.fleet.promotion_announced import PromotionAnnounced
from jackdawspread.messages.fleet.promotion_announcement import PromotionAnnouncement
from jackdawspread.messages.fleet.promotion_announcement_received import (
    PromotionAnnouncementReceived,
)
from jackdawspread.messages.fleet.send_datagram import SendDatagram
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.awaited_announcement import AwaitedAnnouncement
from jackdawspread.tasks.run_isolated import call_isolated, run_isolated

# A datagram may be lost; a round trip between failure domains takes a few milliseconds.
REPEAT_INTERVAL_S = 0.05
# Id of announcements that need no confirmation.
UNCONFIRMED_ID = 0


class PromotionAnnouncementTask:
    """Owns the announcements that await confirmations.

    Parameters
    ----------
    instance : str
        Id of this instance, which confirms its own announcements without a datagram.
    inbox : trio.MemoryReceiveChannel
        Orders of this instance, and confirmations of others.
    peers : trio.MemorySendChannel
        Inbox of the peers task.
    acknowledgements : trio.MemorySendChannel
        Inbox of the acknowledgement task of this instance.
    """

    def __init__(
        self,
        instance: str,
        inbox: MemoryReceiveChannel[AnnouncementEvent],
        peers: MemorySendChannel[PeerEvent],
        acknowledgements: MemorySendChannel[AcknowledgementEvent],
    ) -> None:
        self._instance = instance
        self._inbox = inbox
        self._peers = peers
        self._acknowledgements = acknowledgements
        # A restarted process must not use the ids of its predecessor.
        self._ids = count(round(1000 * seconds_since_boot()))
        self._awaited_by_id: dict[int, AwaitedAnnouncement] = {}

    async def run(self) -> None:
        """Handle events until cancelled."""
        async with open_nursery() as announcements:
            async for event in self._inbox:
                call_isolated("succession", self._handle, event, announcements)

    @singledispatchmethod
    def _handle(self, event: object, announcements: Nursery) -> None:
        raise TypeError(f"no announcement event of type {type(event).__name__}")

    @_handle.register
    def _(self, event: AnnouncePromotion, announcements: Nursery) -> None:
        if event.reply_to is None:
            self._announce_once(event)
            return
        announce = partial(self._announce, event, event.reply_to)
        announcements.start_soon(run_isolated, "succession", announce)

    @_handle.register
    def _(self, event: PromotionAnnouncementReceived, announcements: Nursery) -> None:
        self._confirm(event)

    def _announce_once(self, event: AnnouncePromotion) -> None:
        announced = PromotionAnnounced(UNCONFIRMED_ID, event.state)
        for instance, address in event.address_by_instance.items():
            if instance != self._instance:
                self._send(announced, address)
        try:
            self._acknowledgements.send_nowait(PromotionAnnouncement(announced))
        except WouldBlock:
            logging.warning("succession: state not announced here, the inbox is full")

    async def _announce(
        self, event: AnnouncePromotion, reply_to: MemorySendChannel[AnnouncementResult]
    ) -> None:
        """Repeat an announcement until all have confirmed it, or until it expires."""
        announced = PromotionAnnounced(next(self._ids), event.state)
        missing = {self._instance, *event.address_by_instance}
        awaited = AwaitedAnnouncement(missing, [], Event())
        self._awaited_by_id[announced.id] = awaited
        try:
            with move_on_at(event.expires_at):
                async with open_nursery() as nursery:
                    nursery.start_soon(self._announce_here, announced)
                    await self._announce_to_others(announced, event, awaited)
                    nursery.cancel_scope.cancel()
        finally:
            del self._awaited_by_id[announced.id]
        acknowledged = merge_acknowledged(awaited.acknowledged)
        reply_to.send_nowait(AnnouncementResult(frozenset(missing), acknowledged))

    async def _announce_here(self, announced: PromotionAnnounced) -> None:
        send, replies = open_memory_channel[AcknowledgedPositions](1)
        await self._acknowledgements.send(PromotionAnnouncement(announced, "", send))
        acknowledged = await replies.receive()
        self._confirm(
            PromotionAnnouncementReceived(announced.id, self._instance, acknowledged)
        )

    async def _announce_to_others(
        self,
        announced: PromotionAnnounced,
        event: AnnouncePromotion,
        awaited: AwaitedAnnouncement,
    ) -> None:
        while not awaited.confirmed.is_set():
            for instance in sorted(awaited.missing - {self._instance}):
                self._send(announced, event.address_by_instance[instance])
            with move_on_at(current_time() + REPEAT_INTERVAL_S):
                await awaited.confirmed.wait()

    def _confirm(self, event: PromotionAnnouncementReceived) -> None:
        awaited = self._awaited_by_id.get(event.id)
        if awaited is None:
            return
        awaited.missing.discard(event.instance)
        awaited.acknowledged.append(event.acknowledged)
        if not awaited.missing:
            awaited.confirmed.set()

    def _send(self, announced: PromotionAnnounced, address: str) -> None:
        try:
            self._peers.send_nowait(SendDatagram(announced, address))
        except WouldBlock:
            logging.warning("succession: state not announced, the peers inbox is full")
