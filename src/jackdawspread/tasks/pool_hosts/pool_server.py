"""Leases the member connections of this instance to other instances."""

from trio import (
    MemorySendChannel,
    Nursery,
    SocketListener,
    SocketStream,
    open_nursery,
)

from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.tasks.accept import accept
from jackdawspread.tasks.open_stream import enable_dead_peer_detection
from jackdawspread.tasks.pool_hosts.pool_server_stream import PoolServerStream
from jackdawspread.tasks.run_isolated import run_isolated


class PoolServer:
    """Accepts the streams of other instances.

    Parameters
    ----------
    listener : trio.SocketListener
        Listening socket, owned by this task.
    router : trio.MemorySendChannel
        Inbox of the member router.
    """

    def __init__(
        self, listener: SocketListener, router: MemorySendChannel[RouterEvent]
    ) -> None:
        self._listener = listener
        self._router = router
        self._streams: set[PoolServerStream] = set()
        self._is_draining = False

    async def run(self) -> None:
        """Accept streams until cancelled."""
        async with open_nursery() as streams:
            while True:
                stream = await accept(self._listener, "pools")
                self._start(stream, streams)

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
        if self._is_draining:
            streams.start_soon(stream.aclose)
            return
        streams.start_soon(self._serve, PoolServerStream(stream, self._router))

    async def _serve(self, stream: PoolServerStream) -> None:
        self._streams.add(stream)
        try:
            await run_isolated("pools", stream.run)
        finally:
            self._streams.discard(stream)
