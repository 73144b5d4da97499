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

from trio import SocketStream, move_on_after, open_tcp_stream

# The kernel repeats a lost opening packet after 1, 3 and 7 s; a new attempt finds a
# peer that has returned sooner.
CONNECT_S = 1.0
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
        If the connection is refused or reset, or not answered in time.
    """
    host, port = address.rsplit(":", 1)
    with move_on_after(CONNECT_S):
        stream = await open_tcp_stream(host, int(port))
        enable_dead_peer_detection(stream)
        return stream
    raise TimeoutError(f"{address} did not accept a connection within {CONNECT_S} s")


def enable_dead_peer_detection(stream: SocketStream) -> None:
    """Make a connection fail when its peer no longer acknowledges anything."""
    stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    stream.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
