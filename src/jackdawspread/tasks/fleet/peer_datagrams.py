"""Datagrams between instances."""

from functools import singledispatchmethod

from absl import logging
from trio import MemoryReceiveChannel, MemorySendChannel, WouldBlock, open_nursery
from trio.socket import SOCK_DGRAM, SocketType, socket

from jackdawspread.codecs.network_address import parse_address
from jackdawspread.codecs.peer_datagrams import (
    MAX_DATAGRAM_BYTES,
    decode_datagram,
    encode_datagram,
)
from jackdawspread.messages.fleet.acknowledgement_event import AcknowledgementEvent
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.announcement_event import AnnouncementEvent
from jackdawspread.messages.fleet.broadcast_datagram import BroadcastDatagram
from jackdawspread.messages.fleet.configuration_confirmed import ConfigurationConfirmed
from jackdawspread.messages.fleet.configuration_digest import ConfigurationDigest
from jackdawspread.messages.fleet.configuration_event import ConfigurationEvent
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.member_poll_event import MemberPollEvent
from jackdawspread.messages.fleet.members_relayed import MembersRelayed
from jackdawspread.messages.fleet.peer_datagram import PeerDatagram
from jackdawspread.messages.fleet.peer_demotion_event import PeerDemotionEvent
from jackdawspread.messages.fleet.peer_event import PeerEvent
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.primary_demotion_reply import PrimaryDemotionReply
from jackdawspread.messages.fleet.primary_demotion_request import (
    PrimaryDemotionRequest,
)
from jackdawspread.messages.fleet.primary_demotion_requested import (
    PrimaryDemotionRequested,
)
from jackdawspread.messages.fleet.primary_position_reply import PrimaryPositionReply
from jackdawspread.messages.fleet.primary_position_request import (
    PrimaryPositionRequest,
)
from jackdawspread.messages.fleet.primary_position_requested import (
    PrimaryPositionRequested,
)
from jackdawspread.messages.fleet.promotion_announced import PromotionAnnounced
from jackdawspread.messages.fleet.promotion_announcement import PromotionAnnouncement
from jackdawspread.messages.fleet.promotion_announcement_received import (
    PromotionAnnouncementReceived,
)
from jackdawspread.messages.fleet.promotion_poll_event import PromotionPollEvent
from jackdawspread.messages.fleet.promotion_states_relayed import (
    PromotionStatesRelayed,
)
from jackdawspread.messages.fleet.rate_leases_announced import RateLeasesAnnounced
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.fleet.send_datagram import SendDatagram
from jackdawspread.messages.fleet.token_replied import TokenReplied
from jackdawspread.messages.fleet.token_reply import TokenReply
from jackdawspread.messages.fleet.token_request import TokenRequest
from jackdawspread.messages.fleet.token_requested import TokenRequested
from jackdawspread.tasks.fleet.fleet_metrics import DATAGRAMS
from jackdawspread.tasks.run_isolated import call_isolated


class PeerDatagrams:
    """Owns the datagram socket to the other instances.

    Datagrams are used because each message is complete in itself and a lost one is
    asked for again, while a stream would keep state through a freeze or a partition.

    Parameters
    ----------
    instance : str
        Id of this instance.
    entry : InstanceEntry
        Address and failure domain of this instance.
    inbox : trio.MemoryReceiveChannel
        Messages to send, and the list of instances.
    admission : trio.MemorySendChannel
        Receives requests for tokens and the replies to them.
    leases : trio.MemorySendChannel
        Receives announcements of the rate leases.
    members : trio.MemorySendChannel
        Receives lists of members that other instances have read.
    configurations : trio.MemorySendChannel
        Receives digests of the configuration that other instances hold.
    router : trio.MemorySendChannel
        Receives requests for positions of primaries and the replies to them.
    demotions : trio.MemorySendChannel
        Receives requests to demote primaries and the replies to them.
    promotions : trio.MemorySendChannel
        Receives promotion states that other instances have read.
    acknowledgements : trio.MemorySendChannel
        Receives announcements of promotion states.
    announcements : trio.MemorySendChannel
        Receives confirmations of this instance's announcements.
    """

    def __init__(
        self,
        instance: str,
        entry: InstanceEntry,
        inbox: MemoryReceiveChannel[PeerEvent],
        admission: MemorySendChannel[AdmissionEvent],
        leases: MemorySendChannel[RateLeasesAnnounced],
        members: MemorySendChannel[MemberPollEvent],
        configurations: MemorySendChannel[ConfigurationEvent],
        router: MemorySendChannel[RouterEvent],
        demotions: MemorySendChannel[PeerDemotionEvent],
        promotions: MemorySendChannel[PromotionPollEvent],
        acknowledgements: MemorySendChannel[AcknowledgementEvent],
        announcements: MemorySendChannel[AnnouncementEvent],
    ) -> None:
        self._instance = instance
        self._entry = entry
        self._inbox = inbox
        self._admission = admission
        self._leases = leases
        self._members = members
        self._configurations = configurations
        self._router = router
        self._demotions = demotions
        self._promotions = promotions
        self._acknowledgements = acknowledgements
        self._announcements = announcements
        self._socket: SocketType = socket(type=SOCK_DGRAM)
        self._entry_by_instance: dict[str, InstanceEntry] = {}

    async def run(self) -> None:
        """Send and receive until cancelled."""
        await self._socket.bind(parse_address(self._entry.address))
        async with open_nursery() as nursery:
            nursery.start_soon(self._receive)
            async for event in self._inbox:
                await self._handle(event)

    @singledispatchmethod
    async def _handle(self, event: object) -> None:
        raise TypeError(f"peers do not handle {type(event).__name__}")

    @_handle.register
    async def _(self, event: PeersSeen) -> None:
        self._entry_by_instance = {
            instance: entry
            for instance, entry in event.entry_by_instance.items()
            if instance != self._instance
        }

    @_handle.register
    async def _(self, event: SendDatagram) -> None:
        await self._send(event.message, encode_datagram(event.message), event.peer)

    @_handle.register
    async def _(self, event: BroadcastDatagram) -> None:
        data = encode_datagram(event.message)
        domain = self._entry.failure_domain
        # The list may grow while a datagram is being sent.
        for entry in tuple(self._entry_by_instance.values()):
            if entry.failure_domain == domain or not event.same_domain_only:
                await self._send(event.message, data, entry.address)

    async def _send(self, message: PeerDatagram, data: bytes, peer: str) -> None:
        kind = type(message).__name__
        if len(data) > MAX_DATAGRAM_BYTES:
            logging.warning(
                "peers: not sent, too long kind=%s bytes=%d", kind, len(data)
            )
            return
        DATAGRAMS.labels("sent", kind).inc()
        try:
            await self._socket.sendto(data, parse_address(peer))
        except (OSError, ValueError) as error:
            logging.vlog(1, "peers: datagram not sent peer=%s reason=%r", peer, error)

    async def _receive(self) -> None:
        port = parse_address(self._entry.address)[1]
        while True:
            try:
                data, sender = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                # The port of a peer is closed. The holder of a lease is then skipped
                # for a while, and a registration that is not renewed is dropped.
                logging.vlog(1, "peers: peer refused reason=%r", error)
                continue
            message = decode_datagram(data) if sender[1] == port else None
            if message is None:
                DATAGRAMS.labels("received", "unknown").inc()
                logging.vlog(1, "peers: datagram ignored bytes=%d", len(data))
                continue
            DATAGRAMS.labels("received", type(message).__name__).inc()
            call_isolated(
                "peers", self._deliver_or_drop, message, f"{sender[0]}:{sender[1]}"
            )

    def _deliver_or_drop(self, message: PeerDatagram, sender: str) -> None:
        try:
            self._deliver(message, sender)
        except WouldBlock:
            logging.vlog(
                1, "peers: dropped, inbox full kind=%s", type(message).__name__
            )

    @singledispatchmethod
    def _deliver(self, message: object, sender: str) -> None:
        raise TypeError(f"no datagram of type {type(message).__name__}")

    @_deliver.register
    def _(self, message: TokenRequest, sender: str) -> None:
        self._admission.send_nowait(TokenRequested(message, sender))

    @_deliver.register
    def _(self, message: TokenReply, sender: str) -> None:
        self._admission.send_nowait(TokenReplied(message, sender))

    @_deliver.register
    def _(self, message: RateLeasesAnnounced, sender: str) -> None:
        self._leases.send_nowait(message)

    @_deliver.register
    def _(self, message: MembersRelayed, sender: str) -> None:
        # An instance that has started after the list of instances was read makes itself
        # known by what it relays.
        if message.instance not in self._entry_by_instance:
            entry = InstanceEntry(sender, message.failure_domain)
            self._entry_by_instance[message.instance] = entry
        self._members.send_nowait(message)

    @_deliver.register
    def _(self, message: ConfigurationConfirmed, sender: str) -> None:
        """Ignore it: only instances of an earlier version rely on it."""

    @_deliver.register
    def _(self, message: ConfigurationDigest, sender: str) -> None:
        self._configurations.send_nowait(message)

    @_deliver.register
    def _(self, message: PrimaryPositionRequest, sender: str) -> None:
        self._router.send_nowait(PrimaryPositionRequested(message, sender))

    @_deliver.register
    def _(self, message: PrimaryPositionReply, sender: str) -> None:
        self._router.send_nowait(message)

    @_deliver.register
    def _(self, message: PrimaryDemotionRequest, sender: str) -> None:
        self._demotions.send_nowait(PrimaryDemotionRequested(message, sender))

    @_deliver.register
    def _(self, message: PrimaryDemotionReply, sender: str) -> None:
        self._demotions.send_nowait(message)

    @_deliver.register
    def _(self, message: PromotionStatesRelayed, sender: str) -> None:
        self._promotions.send_nowait(message)

    @_deliver.register
    def _(self, message: PromotionAnnounced, sender: str) -> None:
        self._acknowledgements.send_nowait(PromotionAnnouncement(message, sender))

    @_deliver.register
    def _(self, message: PromotionAnnouncementReceived, sender: str) -> None:
        self._announcements.send_nowait(message)
