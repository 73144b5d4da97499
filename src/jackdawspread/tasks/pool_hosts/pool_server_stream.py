"""Stream from another instance that uses the member connections of this one."""

from functools import singledispatchmethod

from absl import logging
from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    MemoryReceiveChannel,
    MemorySendChannel,
    Nursery,
    SocketStream,
    WouldBlock,
    current_time,
    open_memory_channel,
    open_nursery,
)

from jackdawspread.codecs.pool_host_frames import PoolHostFrames, encode_frame
from jackdawspread.decisions.members.exchange_observation import observe_exchange
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.lease_returned import LeaseReturned
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.pool_hosts.exchange_answered import ExchangeAnswered
from jackdawspread.messages.pool_hosts.exchange_failed import ExchangeFailed
from jackdawspread.messages.pool_hosts.exchange_requested import ExchangeRequested
from jackdawspread.messages.pool_hosts.host_draining import HostDraining
from jackdawspread.messages.pool_hosts.lease_granted import LeaseGranted
from jackdawspread.messages.pool_hosts.lease_refused import LeaseRefused
from jackdawspread.messages.pool_hosts.lease_released import LeaseReleased
from jackdawspread.messages.pool_hosts.lease_requested import LeaseRequested
from jackdawspread.messages.pool_hosts.link_probe import LinkProbe
from jackdawspread.messages.pool_hosts.pool_host_message import PoolHostMessage
from jackdawspread.messages.pool_hosts.primary_confirmed import PrimaryConfirmed
from jackdawspread.messages.pool_hosts.write_stalled import WriteStalled
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_exchange import MemberExchange
from jackdawspread.messages.statements.member_reply import MemberReply
from jackdawspread.tasks.limits.memory_account import MemoryAccount
from jackdawspread.tasks.pool_hosts.hosted_lease import HostedLease

READ_CHUNK_BYTES = 64 * 1024
# More frames than one instance has operations in progress.
OUTBOX = 4_000
# Copies of a frame that exist while its buffer grows.
FRAME_COPIES = 2
STEP = "routing"
STOPPING = "the instance is stopping"


class PoolServerStream:
    """Owns the stream of one instance and the leases that were granted to it.

    When the stream ends, the member connections of its leases are closed, so that the
    members roll their transactions back.

    Parameters
    ----------
    stream : trio.SocketStream
        The accepted stream.
    router : trio.MemorySendChannel
        Inbox of the member router.
    account : MemoryAccount
        What this stream holds of the memory of the process.
    """

    def __init__(
        self,
        stream: SocketStream,
        router: MemorySendChannel[RouterEvent],
        account: MemoryAccount,
    ) -> None:
        self._account = account
        self._stream = stream
        self._router = router
        self._out, self._outbox = open_memory_channel[PoolHostMessage](OUTBOX)
        self._hosted_by_lease: dict[int, HostedLease] = {}
        # Scopes of the requests that wait for a connection, by lease.
        self._wait_by_lease: dict[int, CancelScope] = {}
        self._is_draining = False

    @property
    def has_leases(self) -> bool:
        """Whether the other instance uses any connection."""
        return bool(self._hosted_by_lease)

    def drain(self, grace_s: float) -> None:
        """Refuse further leases, also those waited for, and tell the other instance.

        A connection that is granted late in the shutdown would be closed in the middle
        of its operation.
        """
        self._is_draining = True
        self._send(HostDraining(grace_s))
        for wait in self._wait_by_lease.values():
            wait.cancel()

    async def run(self) -> None:
        """Serve until the stream ends."""
        try:
            with self._account.scope:
                async with self._stream, open_nursery() as nursery:
                    nursery.start_soon(self._write, nursery.cancel_scope)
                    await self._read(nursery)
                    nursery.cancel_scope.cancel()
        finally:
            for hosted in self._hosted_by_lease.values():
                self._return(hosted.lease, LeaseReleased(0, None))
            self._hosted_by_lease.clear()

    async def _read(self, nursery: Nursery) -> None:
        frames = PoolHostFrames()
        try:
            while data := await self._stream.receive_some(READ_CHUNK_BYTES):
                frames.receive(data)
                while (message := frames.next_message()) is not None:
                    self._account.waiting_since = None
                    self._handle(message, nursery)
                self._account.hold(FRAME_COPIES * frames.held_bytes)
        except (OSError, BrokenResourceError, ClosedResourceError) as error:
            logging.vlog(1, "pools: stream lost reason=%r", error.__cause__ or error)
        except (ValueError, TypeError, WouldBlock) as error:
            logging.warning("pools: stream closed, invalid message reason=%r", error)

    async def _write(self, stream: CancelScope) -> None:
        async for message in self._outbox:
            frames = [encode_frame(message)]
            while True:
                try:
                    frames.append(encode_frame(self._outbox.receive_nowait()))
                except WouldBlock:
                    break
            try:
                await self._stream.send_all(b"".join(frames))
            except (OSError, BrokenResourceError, ClosedResourceError):
                stream.cancel()
                return

    def _send(self, message: PoolHostMessage) -> None:
        try:
            self._out.send_nowait(message)
        except WouldBlock:
            # The other instance no longer reads, and ends the stream by itself.
            logging.warning("pools: answer dropped, the stream is blocked")

    @singledispatchmethod
    def _handle(self, message: object, nursery: Nursery) -> None:
        raise TypeError(f"a pool host does not serve {type(message).__name__}")

    @_handle.register
    def _(self, message: LeaseRequested, nursery: Nursery) -> None:
        if self._is_draining:
            self._refuse(message.lease, STOPPING)
            return
        nursery.start_soon(self._lease, message)

    @_handle.register
    def _(self, message: LeaseReleased, nursery: Nursery) -> None:
        hosted = self._hosted_by_lease.pop(message.lease, None)
        if hosted is not None:
            self._return(hosted.lease, message)

    @_handle.register
    def _(self, message: ExchangeRequested, nursery: Nursery) -> None:
        hosted = self._hosted_by_lease.get(message.lease)
        if hosted is None:
            self._fail(message.exchange, "the lease is not known")
            return
        send, receive = open_memory_channel[MemberReply | ExchangeFailure](1)
        deadline = current_time() + message.time_left_s
        exchange = MemberExchange(
            message.commands, deadline, send, hosted.lease.connection
        )
        try:
            hosted.lease.exchanges.send_nowait(exchange)
        except (BrokenResourceError, ClosedResourceError, WouldBlock):
            self._fail(message.exchange, "the connection was lost while idle")
            return
        nursery.start_soon(self._answer, message, hosted.lease, receive)

    @_handle.register
    def _(self, message: PrimaryConfirmed, nursery: Nursery) -> None:
        hosted = self._hosted_by_lease.get(message.lease)
        reply = hosted.last_reply if hosted is not None else None
        if hosted is None or reply is None or reply.position is None:
            return
        group, member = hosted.lease.group, hosted.lease.member
        self._router.send_nowait(
            PositionSeen(
                group, member, reply.position, reply.sent_at, message.confirms_write
            )
        )

    @_handle.register
    def _(self, message: WriteStalled, nursery: Nursery) -> None:
        hosted = self._hosted_by_lease.get(message.lease)
        if hosted is not None:
            lease = hosted.lease
            self._router.send_nowait(
                MemberUnreachable(
                    lease.group,
                    lease.member,
                    current_time(),
                    True,
                    "write not confirmed",
                )
            )

    @_handle.register
    def _(self, message: LinkProbe, nursery: Nursery) -> None:
        if not message.is_reply:
            self._send(LinkProbe(is_reply=True))

    async def _lease(self, message: LeaseRequested) -> None:
        send, receive = open_memory_channel[MemberLease | Refusal](1)
        try:
            self._router.send_nowait(_to_request(message, send))
        except WouldBlock:
            self._refuse(message.lease, "the pool host is overloaded")
            return
        answer: MemberLease | Refusal | None = None
        with receive, CancelScope() as wait:
            self._wait_by_lease[message.lease] = wait
            answer = await receive.receive()
        del self._wait_by_lease[message.lease]
        if answer is None:
            self._refuse(message.lease, STOPPING)
            return
        if isinstance(answer, Refusal):
            self._send(LeaseRefused(message.lease, answer))
            return
        self._hosted_by_lease[message.lease] = HostedLease(answer)
        self._send(
            LeaseGranted(
                message.lease,
                answer.member,
                answer.group,
                answer.context,
                answer.requires_primary,
                answer.required_position,
                answer.position_age_s,
                answer.is_cold,
            )
        )

    async def _answer(
        self,
        message: ExchangeRequested,
        lease: MemberLease,
        receive: MemoryReceiveChannel[MemberReply | ExchangeFailure],
    ) -> None:
        outcome = await receive.receive()
        observation = observe_exchange(outcome, lease, current_time())
        if observation is not None:
            self._router.send_nowait(observation)
        if isinstance(outcome, ExchangeFailure):
            self._send(ExchangeFailed(message.exchange, outcome))
            return
        if message.lease in self._hosted_by_lease:
            self._hosted_by_lease[message.lease] = HostedLease(lease, outcome)
        self._send(ExchangeAnswered(message.exchange, outcome))

    def _return(self, lease: MemberLease, released: LeaseReleased) -> None:
        self._router.send_nowait(
            LeaseReturned(lease.connection, lease.member, released.context)
        )

    def _refuse(self, lease: int, detail: str) -> None:
        refusal = Refusal("busy", ExecutionStatus.NOT_RUN, STEP, "", detail)
        self._send(LeaseRefused(lease, refusal))

    def _fail(self, exchange: int, reason: str) -> None:
        failure = ExchangeFailure(False, reason, at_host=True)
        self._send(ExchangeFailed(exchange, failure))


def _to_request(
    message: LeaseRequested, reply_to: MemorySendChannel[MemberLease | Refusal]
) -> ConnectionRequest:
    """Return the request for this instance's router; times become deadlines."""
    now = current_time()
    return ConnectionRequest(
        message.group,
        message.workspace,
        message.requirement,
        "",
        message.max_staleness_s,
        message.session_position,
        message.excluded,
        message.priority,
        now + message.wait_s,
        message.is_single_statement,
        reply_to,
        now + message.target_s,
        message.caller_domain,
        message.allowed_regions,
    )
