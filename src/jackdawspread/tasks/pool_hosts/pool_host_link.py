"""Stream from this instance to a pool host."""

from functools import singledispatchmethod

from absl import logging
from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    MemoryReceiveChannel,
    MemorySendChannel,
    SocketStream,
    TooSlowError,
    WouldBlock,
    current_time,
    fail_after,
    move_on_after,
    open_memory_channel,
    open_nursery,
)

from jackdawspread.codecs.pool_host_frames import PoolHostFrames, encode_frame
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.pool_hosts.exchange_answered import ExchangeAnswered
from jackdawspread.messages.pool_hosts.exchange_failed import ExchangeFailed
from jackdawspread.messages.pool_hosts.exchange_requested import ExchangeRequested
from jackdawspread.messages.pool_hosts.host_draining import HostDraining
from jackdawspread.messages.pool_hosts.host_link_closed import HostLinkClosed
from jackdawspread.messages.pool_hosts.host_link_event import HostLinkEvent
from jackdawspread.messages.pool_hosts.host_link_opened import HostLinkOpened
from jackdawspread.messages.pool_hosts.lease_broker_event import LeaseBrokerEvent
from jackdawspread.messages.pool_hosts.lease_granted import LeaseGranted
from jackdawspread.messages.pool_hosts.lease_refused import LeaseRefused
from jackdawspread.messages.pool_hosts.lease_released import LeaseReleased
from jackdawspread.messages.pool_hosts.lease_requested import LeaseRequested
from jackdawspread.messages.pool_hosts.link_probe import LinkProbe
from jackdawspread.messages.pool_hosts.primary_confirmed import PrimaryConfirmed
from jackdawspread.messages.pool_hosts.write_stalled import WriteStalled
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_exchange import MemberExchange
from jackdawspread.tasks.fleet.fleet_metrics import CROSSING_BYTES
from jackdawspread.tasks.open_stream import open_stream
from jackdawspread.tasks.pool_hosts.lease_here import answer_request, lease_here
from jackdawspread.tasks.pool_hosts.unanswered_requests import (
    UnansweredRequests,
    deliver_outcome,
)

READ_CHUNK_BYTES = 64 * 1024
SEND_CHUNK_BYTES = 16 * 1024
INBOX = 2_000
# While answers are outstanding the host is probed at this interval.
PROBE_INTERVAL_S = 0.2
# A timer that fires later than this shows that this process did not run.
MAX_DELAY_S = 0.1
# A host that has sent nothing for this long while answers are outstanding is given up.
# Its leases are lost; the requests that wait for one are served by this instance.
SILENCE_LIMIT_S = 0.5
REOPEN_DELAY_S = 1.0


class PoolHostLink:
    """Owns the stream to one pool host and the leases that the host has granted.

    When the stream is lost, the requests that wait for a lease go to the router of
    this instance. An exchange that may have reached the host has an unknown outcome.

    Parameters
    ----------
    host : str
        Id of the pool host.
    address : str
        ``IP:port`` of the pool host.
    broker : trio.MemorySendChannel
        Inbox of the lease broker, which is notified when the stream opens and closes.
    router : trio.MemorySendChannel
        Inbox of this instance's member router.
    leaves_domain : bool
        Whether the host is in another failure domain.
    """

    def __init__(
        self,
        host: str,
        address: str,
        broker: MemorySendChannel[LeaseBrokerEvent],
        router: MemorySendChannel[RouterEvent],
        leaves_domain: bool = False,
    ) -> None:
        self._host = host
        self._address = address
        self._broker = broker
        self._router = router
        self._leaves_domain = leaves_domain
        self._link: MemorySendChannel[HostLinkEvent]
        self._unanswered = UnansweredRequests(host)
        # Monotonic time of the last received bytes, or of the first request after a
        # time without any.
        self._heard_at = 0.0
        self._reason = "closed by the host"
        self._is_draining = False

    async def run(self) -> None:
        """Open the stream and serve the inbox until the stream is lost."""
        try:
            await self._open_and_serve()
        finally:
            if not self._is_draining:
                self._report_closed(REOPEN_DELAY_S)

    async def _open_and_serve(self) -> None:
        try:
            stream = await open_stream(self._address)
        except OSError as error:
            self._reason = f"not opened: {error}"
            return
        self._link, inbox = open_memory_channel[HostLinkEvent](INBOX)
        await self._broker.send(HostLinkOpened(self._host, self._link))
        try:
            async with stream, open_nursery() as nursery:
                nursery.start_soon(self._read, stream, nursery.cancel_scope)
                await self._write(stream, inbox)
                nursery.cancel_scope.cancel()
        finally:
            self._fail_all(inbox)

    def _report_closed(self, retry_after_s: float) -> None:
        closed = HostLinkClosed(self._host, retry_after_s, self._reason)
        # The broker's inbox has more room than all sessions together can fill.
        self._broker.send_nowait(closed)

    async def _read(self, stream: SocketStream, link: CancelScope) -> None:
        frames = PoolHostFrames()
        try:
            while data := await stream.receive_some(READ_CHUNK_BYTES):
                self._heard_at = current_time()
                self._count_bytes("received", data)
                frames.receive(data)
                while (message := frames.next_message()) is not None:
                    self._receive(message)
        except (OSError, BrokenResourceError, ClosedResourceError) as error:
            self._reason = f"connection failed: {error.__cause__ or error}"
        except (ValueError, TypeError) as error:
            logging.warning("broker: invalid message host=%s: %s", self._host, error)
            self._reason = f"invalid message: {error}"
        link.cancel()

    async def _write(
        self, stream: SocketStream, inbox: MemoryReceiveChannel[HostLinkEvent]
    ) -> None:
        while True:
            data = b""
            waits_since = current_time()
            interval_s = PROBE_INTERVAL_S if self._unanswered else float("inf")
            with move_on_after(interval_s):
                data = self._encode_all(await inbox.receive(), inbox)
            now = current_time()
            if self._unanswered and now - waits_since > PROBE_INTERVAL_S + MAX_DELAY_S:
                # This process was suspended or slow. What the host has sent meanwhile
                # is still to be read.
                self._heard_at = now
            else:
                self._unanswered.expire(now)
            if self._unanswered and now - self._heard_at > SILENCE_LIMIT_S:
                self._reason = f"silent for {SILENCE_LIMIT_S} s"
                return
            if not data and not self._unanswered:
                # Everything was answered while this task waited.
                continue
            data = data or encode_frame(LinkProbe(False))
            self._count_bytes("sent", data)
            try:
                await self._send(stream, data)
            except (OSError, BrokenResourceError, TooSlowError) as error:
                self._reason = f"connection failed: {error.__cause__ or error}"
                return

    async def _send(self, stream: SocketStream, data: bytes) -> None:
        """Send data; raise TooSlowError if the host takes none for a time.

        A host that takes the later parts of a large message is not silent; the first
        part, or a probe, only shows that the kernel has room for it.
        """
        for start in range(0, len(data), SEND_CHUNK_BYTES):
            with fail_after(SILENCE_LIMIT_S):
                await stream.send_all(data[start : start + SEND_CHUNK_BYTES])
            if start:
                self._heard_at = current_time()

    def _count_bytes(self, direction: str, data: bytes) -> None:
        if self._leaves_domain:
            CROSSING_BYTES.labels(direction).inc(len(data))

    def _encode_all(
        self, event: HostLinkEvent, inbox: MemoryReceiveChannel[HostLinkEvent]
    ) -> bytes:
        """Encode an event and those that are queued behind it."""
        if not self._unanswered:
            self._heard_at = current_time()
        frames = [self._encode(event)]
        while True:
            try:
                frames.append(self._encode(inbox.receive_nowait()))
            except WouldBlock:
                return b"".join(frames)

    @singledispatchmethod
    def _encode(self, event: object) -> bytes:
        raise TypeError(f"a pool host is not sent {type(event).__name__}")

    @_encode.register
    def _(self, event: ConnectionRequest) -> bytes:
        lease = self._unanswered.add_request(event)
        return encode_frame(
            LeaseRequested(
                lease,
                event.group,
                event.workspace,
                event.requirement,
                event.max_staleness_s,
                event.session_position,
                event.excluded,
                event.priority,
                event.expires_at - current_time(),
                event.is_single_statement,
                event.target_at - current_time(),
                event.caller_domain,
                event.allowed_regions,
            )
        )

    @_encode.register
    def _(self, event: MemberExchange) -> bytes:
        exchange = self._unanswered.add_exchange(event)
        time_left_s = event.deadline - current_time()
        return encode_frame(
            ExchangeRequested(event.connection, exchange, event.commands, time_left_s)
        )

    @_encode.register(LeaseReleased)
    @_encode.register(PrimaryConfirmed)
    @_encode.register(WriteStalled)
    def _(self, event: LeaseReleased | PrimaryConfirmed | WriteStalled) -> bytes:
        return encode_frame(event)

    @singledispatchmethod
    def _receive(self, message: object) -> None:
        raise TypeError(f"a pool host does not send {type(message).__name__}")

    @_receive.register
    def _(self, message: LeaseGranted) -> None:
        lease = MemberLease(
            message.lease,
            message.member,
            message.group,
            self._link,
            message.context,
            message.requires_primary,
            message.required_position,
            message.position_age_s,
            self._host,
            self._link,
            message.is_cold,
        )
        request = self._unanswered.take_request(message.lease)
        if request is None or not answer_request(request, lease):
            self._release(message)

    def _release(self, granted: LeaseGranted) -> None:
        """Release a connection that nobody waits for any more."""
        try:
            self._link.send_nowait(LeaseReleased(granted.lease, granted.context))
        except WouldBlock:
            logging.warning("broker: lease not released host=%s", self._host)

    @_receive.register
    def _(self, message: LeaseRefused) -> None:
        request = self._unanswered.take_request(message.lease)
        if request is None:
            return
        if self._is_draining:
            lease_here(request, self._router)
        else:
            answer_request(request, message.refusal)

    @_receive.register
    def _(self, message: ExchangeAnswered) -> None:
        self._unanswered.finish_exchange(message.exchange, message.reply)

    @_receive.register
    def _(self, message: ExchangeFailed) -> None:
        self._unanswered.finish_exchange(message.exchange, message.failure)

    @_receive.register
    def _(self, message: LinkProbe) -> None:
        """Count as a sign of life, like any message."""

    @_receive.register
    def _(self, message: HostDraining) -> None:
        self._is_draining = True
        self._reason = "draining"
        self._report_closed(message.grace_s)

    def _fail_all(self, inbox: MemoryReceiveChannel[HostLinkEvent]) -> None:
        """Serve waiting requests elsewhere, and fail the exchanges."""
        while True:
            try:
                self._fail(inbox.receive_nowait())
            except WouldBlock:
                break
        inbox.close()
        for request in self._unanswered.take_requests():
            lease_here(request, self._router)
        self._unanswered.fail_exchanges(
            f"the stream to the pool host was lost: {self._reason}"
        )

    @singledispatchmethod
    def _fail(self, event: object) -> None:
        """Drop an event that was not sent; the host releases its leases itself."""

    @_fail.register
    def _(self, event: ConnectionRequest) -> None:
        lease_here(event, self._router)

    @_fail.register
    def _(self, event: MemberExchange) -> None:
        reason = f"not sent to the pool host: {self._reason}"
        deliver_outcome(event, ExchangeFailure(False, reason, at_host=True))
