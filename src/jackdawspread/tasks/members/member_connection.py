"""Connection to one member."""

from collections.abc import Callable

from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    EndOfChannel,
    MemoryReceiveChannel,
    MemorySendChannel,
    SocketStream,
    WouldBlock,
    current_time,
    open_memory_channel,
)

from jackdawspread.messages.fleet.connection_closed import ConnectionClosed
from jackdawspread.messages.fleet.connection_opened import ConnectionOpened
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_command import MemberCommand
from jackdawspread.messages.statements.member_exchange import MemberExchange
from jackdawspread.messages.statements.member_reply import MemberReply
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.members.member_codec import MemberCodec
from jackdawspread.tasks.open_stream import open_stream

READ_CHUNK_BYTES = 64 * 1024
# Opening a connection takes about 10 ms, and more if the member has no free slot.
CONNECT_TIMEOUT_S = 0.6
EXCHANGE_INBOX = 8


class MemberConnection:
    """Owns one socket to a member and runs the exchanges of its inbox in order.

    The connection closes after the first exchange without a complete answer, so that
    a late answer is never taken for the answer to another exchange.

    Parameters
    ----------
    id : int
        Id of the connection, unique in the process.
    listing : MemberListing
        The member.
    workspace : str
        Workspace under which the connection is opened.
    make_codec : callable
        Returns a codec for a new connection.
    router : trio.MemorySendChannel
        Inbox of the router, which is notified when the connection opens or closes.
    """

    def __init__(
        self,
        id: int,
        listing: MemberListing,
        workspace: str,
        make_codec: Callable[[], MemberCodec],
        router: MemorySendChannel[RouterEvent],
    ) -> None:
        self._id = id
        self._listing = listing
        self._workspace = workspace
        self._codec = make_codec()
        self._router = router
        self._stream: SocketStream | None = None

    async def run(self) -> None:
        """Open the connection and serve exchanges until the inbox closes."""
        member = self._listing.id
        ended: RouterEvent = ConnectionOpened(self._id, member, None, "failed")
        try:
            error = await self._open()
            if error:
                await self._close()
                ended = ConnectionOpened(self._id, member, None, error)
            else:
                send, inbox = open_memory_channel[MemberExchange](EXCHANGE_INBOX)
                await self._router.send(ConnectionOpened(self._id, member, send, ""))
                ended = ConnectionClosed(self._id, member)
                await self._serve_until_closed(inbox)
        except Exception:
            # The router has to learn of the end, also after an unexpected error.
            await self._router.send(ended)
            raise
        await self._router.send(ended)

    async def _serve_until_closed(
        self, inbox: MemoryReceiveChannel[MemberExchange]
    ) -> None:
        try:
            await self._serve(inbox)
        finally:
            _refuse_queued(inbox)
            inbox.close()
            await self._close()

    async def _open(self) -> str:
        listing = self._listing
        with CancelScope(deadline=current_time() + CONNECT_TIMEOUT_S):
            try:
                self._stream = await open_stream(listing.address)
                handshake = self._codec.encode_handshake(
                    listing.group, self._workspace, listing.id
                )
                await self._stream.send_all(handshake)
                while (reply := self._codec.next_handshake_reply()) is None:
                    await self._receive()
                return reply.error
            except (OSError, BrokenResourceError, ClosedResourceError) as error:
                return f"connection failed: {error.__cause__ or error}"
            except ValueError as error:
                return f"invalid answer: {error}"
        return f"no answer within {CONNECT_TIMEOUT_S} s"

    async def _serve(self, inbox: MemoryReceiveChannel[MemberExchange]) -> None:
        async for exchange in inbox:
            outcome = await self._exchange(exchange)
            _reply(exchange, outcome)
            if isinstance(outcome, ExchangeFailure):
                return

    async def _exchange(
        self, exchange: MemberExchange
    ) -> MemberReply | ExchangeFailure:
        *first, last = exchange.commands
        sent = False
        with CancelScope(deadline=exchange.deadline):
            try:
                failed = await self._run_pipelined(first)
                if failed is not None:
                    return failed
                sent_at = seconds_since_boot()
                sent = True
                reply = await self._run(last)
                return reply._replace(sent_at=sent_at)
            except (OSError, BrokenResourceError, ClosedResourceError) as error:
                reason = f"connection failed: {error.__cause__ or error}"
                return ExchangeFailure(sent, reason)
            except ValueError as error:
                return ExchangeFailure(sent, f"invalid answer: {error}")
        return ExchangeFailure(sent, "no answer in time", timed_out=True)

    async def _run_pipelined(self, commands: list[MemberCommand]) -> MemberReply | None:
        """Send preparing commands in one piece; return the first error, if any."""
        if not commands:
            return None
        encode = self._codec.encode_command
        await self._send(b"".join(encode(command) for command in commands))
        replies = [await self._next_reply() for _ in commands]
        errors = [reply for reply in replies if reply.error]
        return errors[0] if errors else None

    async def _run(self, command: MemberCommand) -> MemberReply:
        await self._send(self._codec.encode_command(command))
        return await self._next_reply()

    async def _send(self, data: bytes) -> None:
        assert self._stream is not None
        await self._stream.send_all(data)

    async def _next_reply(self) -> MemberReply:
        while (reply := self._codec.next_reply()) is None:
            await self._receive()
        return reply

    async def _receive(self) -> None:
        assert self._stream is not None
        data = await self._stream.receive_some(READ_CHUNK_BYTES)
        if not data:
            raise BrokenResourceError("closed by the member")
        self._codec.receive(data)

    async def _close(self) -> None:
        if self._stream is not None:
            with CancelScope(shield=True, deadline=current_time() + 1):
                await self._stream.aclose()


def _refuse_queued(inbox: MemoryReceiveChannel[MemberExchange]) -> None:
    """Fail the exchanges that are still queued when the connection ends."""
    while True:
        try:
            exchange = inbox.receive_nowait()
        except (WouldBlock, EndOfChannel):
            return
        _reply(exchange, ExchangeFailure(False, "the connection was lost while idle"))


def _reply(exchange: MemberExchange, outcome: MemberReply | ExchangeFailure) -> None:
    try:
        exchange.reply_to.send_nowait(outcome)
    except BrokenResourceError:
        # The session has ended, and the router closes the connection.
        return
