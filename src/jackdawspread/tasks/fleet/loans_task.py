"""Loans of rate tokens between instances."""

from functools import singledispatchmethod
from itertools import count

from absl import logging
from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    WouldBlock,
    current_time,
    open_memory_channel,
    open_nursery,
)
from trio.socket import SOCK_DGRAM, SocketType, socket

from jackdawspread.codecs.token_datagrams import (
    MAX_DATAGRAM_BYTES,
    decode_datagram,
    encode_datagram,
)
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.borrow_tokens import BorrowTokens
from jackdawspread.messages.fleet.lend_tokens import LendTokens
from jackdawspread.messages.fleet.loan_event import LoanEvent
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.token_grant import TokenGrant
from jackdawspread.messages.fleet.token_request import TokenRequest
from jackdawspread.messages.fleet.tokens_received import TokensReceived
from jackdawspread.tasks.fleet.fleet_metrics import DATAGRAMS, LOANS

# Maximum number of unanswered requests; beyond it all of them are forgotten.
MAX_OUTSTANDING = 1_000

Address = tuple[str, int]


class LoansTask:
    """Owns a datagram socket over which instances lend each other rate tokens.

    Parameters
    ----------
    address : str
        ``IP:port`` of this instance for its peers.
    inbox : trio.MemoryReceiveChannel
        Requests for loans, and updates of the peers' addresses.
    admission : trio.MemorySendChannel
        Inbox of the admission task, which owns the buckets.
    """

    def __init__(
        self,
        address: str,
        inbox: MemoryReceiveChannel[LoanEvent],
        admission: MemorySendChannel[AdmissionEvent],
    ) -> None:
        self._address = _parse_address(address)
        self._inbox = inbox
        self._admission = admission
        self._socket: SocketType = socket(type=SOCK_DGRAM)
        self._ids = count(round(1000 * current_time()))
        self._peers: tuple[Address, ...] = ()
        # Workspace of each unanswered request, by peer and request id.
        self._workspace_by_request: dict[tuple[Address, int], str] = {}

    async def run(self) -> None:
        """Lend and borrow until cancelled."""
        await self._socket.bind(self._address)
        async with open_nursery() as nursery:
            nursery.start_soon(self._receive)
            async for event in self._inbox:
                await self._handle(event)

    @singledispatchmethod
    async def _handle(self, event: object) -> None:
        raise TypeError(f"loans do not handle {type(event).__name__}")

    @_handle.register
    async def _(self, event: PeersSeen) -> None:
        self._peers = tuple(
            sorted(_parse_address(address) for address in event.addresses)
        )

    @_handle.register
    async def _(self, event: BorrowTokens) -> None:
        if len(self._workspace_by_request) > MAX_OUTSTANDING:
            self._workspace_by_request.clear()
        for peer in self._peers:
            id = next(self._ids)
            self._workspace_by_request[(peer, id)] = event.workspace
            await self._send(TokenRequest(id, event.workspace, event.tokens), peer)

    async def _receive(self) -> None:
        while True:
            try:
                data, sender = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                # The port of a peer is closed. A later renewal of the shares drops the
                # peer from the list.
                logging.vlog(1, "loans: peer refused reason=%r", error)
                continue
            message = decode_datagram(data)
            DATAGRAMS.labels("received", type(message).__name__).inc()
            if message is None:
                logging.vlog(1, "loans: datagram ignored bytes=%d", len(data))
            else:
                await self._handle_datagram(message, (sender[0], sender[1]))

    @singledispatchmethod
    async def _handle_datagram(self, message: object, sender: Address) -> None:
        raise TypeError(f"no datagram of type {type(message).__name__}")

    @_handle_datagram.register
    async def _(self, message: TokenRequest, sender: Address) -> None:
        if sender not in self._peers:
            return
        send, receive = open_memory_channel[int](1)
        try:
            self._admission.send_nowait(
                LendTokens(message.workspace, message.tokens, send)
            )
        except WouldBlock:
            logging.vlog(1, "loans: nothing lent, the admission task is overloaded")
            return
        await self._send(TokenGrant(message.id, await receive.receive()), sender)

    @_handle_datagram.register
    async def _(self, message: TokenGrant, sender: Address) -> None:
        workspace = self._workspace_by_request.pop((sender, message.id), None)
        if workspace is None:
            # Counting a duplicate of an answer would double the tokens.
            return
        LOANS.labels("granted" if message.tokens else "refused").inc()
        await self._admission.send(TokensReceived(workspace, message.tokens))

    async def _send(self, message: TokenRequest | TokenGrant, peer: Address) -> None:
        DATAGRAMS.labels("sent", type(message).__name__).inc()
        try:
            await self._socket.sendto(encode_datagram(message), peer)
        except OSError as error:
            logging.vlog(1, "loans: datagram not sent peer=%s reason=%r", peer, error)


def _parse_address(address: str) -> Address:
    host, port = address.rsplit(":", 1)
    return host, int(port)
