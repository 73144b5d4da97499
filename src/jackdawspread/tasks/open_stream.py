"""Opens TCP connections that notice a dead peer."""

from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
)

from trio import SocketStream, open_tcp_stream

# A peer that acknowledges nothing for this long is treated as gone.
UNACKNOWLEDGED_MS = 700
# An idle connection that was cut silently is noticed after about 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


async def open_stream(address: str) -> SocketStream:
    """Connect to ``IP:port``.

    Raises
    ------
    OSError
        If the connection is refused or reset.
    """
    host, port = address.rsplit(":", 1)
    stream = await open_tcp_stream(host, int(port))
    watch_peer(stream)
    return stream


def watch_peer(stream: SocketStream) -> None:
    """Make a connection fail when its peer no longer acknowledges anything."""
    stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    stream.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
