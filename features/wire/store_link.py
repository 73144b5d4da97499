"""Link of one instance to the stand-in of the store."""

from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    Nursery,
    SocketListener,
    SocketStream,
    current_time,
    open_nursery,
    open_tcp_listeners,
    open_tcp_stream,
    sleep_until,
)

CHUNK_BYTES = 8 * 1024


class StoreLink:
    """Forwards the connections of one instance to the store at a limited rate.

    All connections share the rate, as on the link of a machine.

    Parameters
    ----------
    store_address : str
        ``IP:port`` of the store.
    bytes_per_s : float
        Rate of the answers.
    """

    def __init__(self, store_address: str, bytes_per_s: float) -> None:
        self._store_address = store_address
        self.bytes_per_s = bytes_per_s
        # Connections are closed at once while this is set.
        self.is_refusing = False
        self.forwarded_bytes = 0
        self._free_at = 0.0
        self._scopes: set[CancelScope] = set()

    async def start(self, nursery: Nursery) -> str:
        """Listen; return the address for the instance."""
        (listener,) = await open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(self._accept, listener, nursery)
        host, port = listener.socket.getsockname()[:2]
        return f"{host}:{port}"

    def refuse(self) -> None:
        """Close all connections, and those that are opened from now on."""
        self.is_refusing = True
        for scope in self._scopes:
            scope.cancel()

    async def _accept(self, listener: SocketListener, nursery: Nursery) -> None:
        while True:
            stream = await listener.accept()
            nursery.start_soon(self._serve, stream)

    async def _serve(self, stream: SocketStream) -> None:
        if self.is_refusing:
            await stream.aclose()
            return
        host, port = self._store_address.rsplit(":", 1)
        with CancelScope() as scope:
            self._scopes.add(scope)
            async with (
                stream,
                await open_tcp_stream(host, int(port)) as store,
                open_nursery() as nursery,
            ):
                nursery.start_soon(self._forward_requests, stream, store, nursery)
                await self._forward_answers(store, stream)
                nursery.cancel_scope.cancel()
        self._scopes.discard(scope)

    async def _forward_requests(
        self, stream: SocketStream, store: SocketStream, nursery: Nursery
    ) -> None:
        try:
            while data := await stream.receive_some(CHUNK_BYTES):
                await store.send_all(data)
        except (BrokenResourceError, ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()

    async def _forward_answers(self, store: SocketStream, stream: SocketStream) -> None:
        try:
            while data := await store.receive_some(CHUNK_BYTES):
                self._free_at = max(self._free_at, current_time())
                self._free_at += len(data) / self.bytes_per_s
                await sleep_until(self._free_at)
                await stream.send_all(data)
                self.forwarded_bytes += len(data)
        except (BrokenResourceError, ClosedResourceError):
            return
