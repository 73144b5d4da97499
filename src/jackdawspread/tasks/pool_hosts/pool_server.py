"""Leases the member connections of this instance to other instances."""

from functools import partial

from trio import (
    MemorySendChannel,
    Nursery,
    SocketListener,
    SocketStream,
    open_nursery,
)

from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.tasks.accept import accept
from jackdawspread.tasks.limits.memory_account import MemoryAccount
from jackdawspread.tasks.limits.memory_budget import TOO_MANY, MemoryBudget
from jackdawspread.tasks.open_stream import enable_dead_peer_detection
from jackdawspread.tasks.pool_hosts.pool_server_stream import PoolServerStream
from jackdawspread.tasks.run_isolated import call_isolated, run_isolated

PART = "pools"
SESSION_PART = "session"
# Memory of a stream without frames.
IDLE_BYTES = 24 * 1024
# Streams that are accepted although sessions take all connections of the instance.
MAX_STREAMS_OF_FULL_INSTANCE = 100


class PoolServer:
    """Accepts the streams of other instances.

    Parameters
    ----------
    listener : trio.SocketListener
        Listening socket, owned by this task.
    router : trio.MemorySendChannel
        Inbox of the member router.
    max_connections : int
        Limit of connections that are accepted at the same time on all ports.
    budget : MemoryBudget
        Memory of all connections.
    """

    def __init__(
        self,
        listener: SocketListener,
        router: MemorySendChannel[RouterEvent],
        max_connections: int,
        budget: MemoryBudget,
    ) -> None:
        self._max_connections = max_connections
        self._budget = budget
        self._listener = listener
        self._router = router
        self._streams: set[PoolServerStream] = set()
        self._is_draining = False

    async def run(self) -> None:
        """Accept streams until cancelled."""
        async with open_nursery() as streams:
            while True:
                stream = await accept(self._listener, PART)
                if not call_isolated(PART, self._start, stream, streams):
                    streams.start_soon(run_isolated, PART, stream.aclose)

    def drain(self, grace_s: float) -> None:
        """Grant no more leases; tell the other instances to use other hosts.

        Parameters
        ----------
        grace_s : float
            Seconds after which this process exits.
        """
        self._is_draining = True
        for stream in self._streams:
            stream.drain(grace_s)

    @property
    def has_leases(self) -> bool:
        """Whether another instance uses any connection."""
        return any(stream.has_leases for stream in self._streams)

    def _start(self, stream: SocketStream, streams: Nursery) -> None:
        enable_dead_peer_detection(stream)
        if self._is_draining or not self._has_room():
            streams.start_soon(run_isolated, PART, stream.aclose)
            return
        account = self._budget.open_account(PART, IDLE_BYTES)
        served = PoolServerStream(stream, self._router, account)
        streams.start_soon(run_isolated, PART, partial(self._serve, served, account))

    def _has_room(self) -> bool:
        """Whether a stream may be accepted, after one that is silent was closed."""
        is_full = self._budget.count(PART) >= MAX_STREAMS_OF_FULL_INSTANCE and (
            self._budget.count(PART, SESSION_PART) >= self._max_connections
        )
        if not is_full or self._budget.make_room(PART):
            return True
        self._budget.refuse(PART, TOO_MANY)
        return False

    async def _serve(self, stream: PoolServerStream, account: MemoryAccount) -> None:
        self._streams.add(stream)
        try:
            await stream.run()
        finally:
            self._budget.close_account(account)
            self._streams.discard(stream)
