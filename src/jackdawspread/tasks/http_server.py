"""HTTP listener."""

from functools import partial

from trio import Event, Nursery, SocketListener, SocketStream, open_nursery, sleep

from jackdawspread.decisions.limits.memory_limits import UNLIMITED
from jackdawspread.tasks.accept import accept
from jackdawspread.tasks.http_server_connection import (
    IDLE_BYTES,
    Handler,
    HttpServerConnection,
)
from jackdawspread.tasks.limits.memory_account import MemoryAccount
from jackdawspread.tasks.limits.memory_budget import TOO_MANY, MemoryBudget
from jackdawspread.tasks.run_isolated import run_isolated

# Connections that the kernel has accepted before the server stops are served; closing
# the listening socket would reset them.
BACKLOG_S = 0.1
MAX_CONNECTIONS = 100_000
# A full server closes a connection that has brought no complete request for this long.
MIN_WAIT_S = 0.1


class HttpServer:
    """Accepts connections on one listening socket.

    Parameters
    ----------
    listener : trio.SocketListener
        Listening socket, owned by this task.
    handle : callable
        Coroutine function that returns the response to one request.
    stopping : trio.Event
        Set to stop accepting connections and to close those that stay idle.
    part : str
        Name of the server in logs and metrics.
    budget : MemoryBudget or None
        Memory of all connections of the process; None for a server without limits.
    max_connections : int
        Limit of connections that are open at the same time.
    """

    def __init__(
        self,
        listener: SocketListener,
        handle: Handler,
        stopping: Event,
        part: str = "http",
        budget: MemoryBudget | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._part = part
        self._budget = budget or MemoryBudget(UNLIMITED)
        self._max_connections = max_connections
        self._listener = listener
        self._handle = handle
        self._stopping = stopping
        self._connections: set[HttpServerConnection] = set()

    async def run(self) -> None:
        """Serve until stopped and all requests are answered."""
        async with open_nursery() as connections, open_nursery() as accepting:
            accepting.start_soon(self._accept, connections)
            await self._stopping.wait()
            for connection in self._connections:
                connection.stop()
            await sleep(BACKLOG_S)
            accepting.cancel_scope.cancel()
            await self._listener.aclose()

    async def _accept(self, connections: Nursery) -> None:
        while True:
            stream = await accept(self._listener, self._part)
            is_full = self._budget.count(self._part) >= self._max_connections
            if is_full and not self._budget.make_room(self._part, MIN_WAIT_S):
                self._budget.refuse(self._part, TOO_MANY)
                connections.start_soon(run_isolated, self._part, stream.aclose)
                continue
            account = self._budget.open_account(self._part, IDLE_BYTES)
            serve = partial(self._serve, stream, account)
            connections.start_soon(run_isolated, self._part, serve)

    async def _serve(self, stream: SocketStream, account: MemoryAccount) -> None:
        connection = HttpServerConnection(
            stream, self._handle, self._stopping, self._budget, account
        )
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._budget.close_account(account)
            self._connections.discard(connection)
