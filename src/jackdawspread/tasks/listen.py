"""Opening of listening sockets."""

from trio import SocketListener, open_tcp_listeners


async def listen(address: str) -> SocketListener:
    """Open a listening socket on ``IP:port``."""
    host, port = address.rsplit(":", 1)
    listeners = await open_tcp_listeners(int(port), host=host)
    return listeners[0]
