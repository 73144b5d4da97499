"""HTTP listener."""

from trio import Event, Nursery, SocketListener, SocketStream, open_nursery, sleep

from jackdawspread.tasks.accept import accept
from jackdawspread.tasks.http_server_connection import Handler, HttpServerConnection
from jackdawspread.tasks.run_isolated import run_isolated

# Connections that the kernel has accepted before the server stops are served; closing
# the listening socket would reset them.
BACKLOG_S = 0.1


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
    """

    def __init__(
        self, listener: SocketListener, handle: Handler, stopping: Event
    ) -> None:
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
            stream = await accept(self._listener, "http")
            connections.start_soon(self._serve, stream)

    async def _serve(self, stream: SocketStream) -> None:
        connection = HttpServerConnection(stream, self._handle, self._stopping)
        self._connections.add(connection)
        try:
            await run_isolated("http", connection.run)
        finally:
            self._connections.discard(connection)
