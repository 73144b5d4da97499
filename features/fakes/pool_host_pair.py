"""Pool host with a fake member router, and raw streams to it."""

from trio import (
    SocketStream,
    fail_after,
    open_memory_channel,
    open_nursery,
    open_tcp_listeners,
    open_tcp_stream,
    sleep_forever,
)

from jackdawspread.codecs.pool_host_frames import PoolHostFrames, encode_frame
from jackdawspread.decisions.limits.memory_limits import UNLIMITED
from jackdawspread.messages.fleet.connection_context import EMPTY_CONTEXT
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.lease_returned import LeaseReturned
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.pool_hosts.lease_requested import LeaseRequested
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.member_reply import MemberReply
from jackdawspread.messages.statements.session_phase import SessionPhase
from jackdawspread.tasks.limits.memory_budget import MemoryBudget
from jackdawspread.tasks.pool_hosts.pool_server import PoolServer

TIMEOUT_S = 2.0
REPLY = MemberReply((), "sig", "", "", SessionPhase.IN_TRANSACTION, Position(3, 7))


class PoolHostPair:
    """Runs a pool server whose router grants every lease, or keeps it waiting."""

    def __init__(self) -> None:
        self.grants_leases = True
        self.server: PoolServer
        self.port = 0
        self.returned: list[LeaseReturned] = []
        self._streams: list[tuple[SocketStream, PoolHostFrames]] = []
        self._router, self._inbox = open_memory_channel(100)

    async def run(self) -> None:
        """Serve until cancelled."""
        (listener,) = await open_tcp_listeners(0, host="127.0.0.1")
        self.port = listener.socket.getsockname()[1]
        async with open_nursery() as nursery:
            self.server = PoolServer(
                listener, self._router, 100, MemoryBudget(UNLIMITED)
            )
            nursery.start_soon(self.server.run)
            nursery.start_soon(self._route, nursery)
            await sleep_forever()

    async def connect(self) -> int:
        """Open a stream and return its number."""
        stream = await open_tcp_stream("127.0.0.1", self.port)
        self._streams.append((stream, PoolHostFrames()))
        return len(self._streams) - 1

    async def send(self, number: int, message: object) -> None:
        """Send a message, or raw bytes."""
        data = message if isinstance(message, bytes) else encode_frame(message)
        await self._streams[number][0].send_all(data)

    async def receive(self, number: int) -> object | None:
        """Return the next message, None at the end of the stream."""
        stream, frames = self._streams[number]
        with fail_after(TIMEOUT_S):
            while (message := frames.next_message()) is None:
                data = await stream.receive_some(4096)
                if not data:
                    return None
                frames.receive(data)
            return message

    async def break_stream(self, number: int) -> None:
        """Close a stream without a farewell."""
        await self._streams[number][0].aclose()

    async def _route(self, nursery) -> None:
        async for event in self._inbox:
            if isinstance(event, ConnectionRequest):
                if not self.grants_leases:
                    continue
                send, commands = open_memory_channel(8)
                nursery.start_soon(self._answer, commands)
                lease = MemberLease(
                    1, "m0", "ledger", send, EMPTY_CONTEXT, True, None, 0.0
                )
                event.reply_to.send_nowait(lease)
            elif isinstance(event, LeaseReturned):
                self.returned.append(event)

    async def _answer(self, commands) -> None:
        async for exchange in commands:
            exchange.reply_to.send_nowait(REPLY)


def lease_request(lease: int) -> LeaseRequested:
    """Return a request for a connection to the primary."""
    return LeaseRequested(
        lease,
        "ledger",
        "w1",
        MemberRequirement.PRIMARY,
        1.0,
        None,
        frozenset(),
        1,
        0.5,
        True,
    )
