"""Opening of TCP connections that detect a dead peer."""

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

# The kernel resends a lost SYN packet after 1, 3 and 7 s. A new attempt connects
# sooner to a peer that has become reachable again.
CONNECT_TIMEOUT_S = 1.0
# A process that acknowledges no sent data for this long is treated as dead.
USER_TIMEOUT_MS = 700
# An idle connection is probed after 1 s. One that was dropped silently ends after about
# 2 s, or after the user timeout if that is longer: with such a timeout the number of
# probes has no effect on Linux.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


async def open_stream(address: str) -> SocketStream:
    """Connect to ``IP:port``.

    Raises
    ------
    OSError
        If the connection is refused or reset, or not accepted in time.
    """
    host, port = address.rsplit(":", 1)
    with move_on_after(CONNECT_TIMEOUT_S):
        stream = await open_tcp_stream(host, int(port))
        enable_dead_peer_detection(stream)
        return stream
    raise TimeoutError(
        f"{address} did not accept a connection within {CONNECT_TIMEOUT_S} s"
    )


def enable_dead_peer_detection(
    stream: SocketStream, user_timeout_ms: int = USER_TIMEOUT_MS
) -> None:
    """Set the TCP options with which a connection to a dead peer fails.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.
    user_timeout_ms : int
        Milliseconds after which it fails if the peer acknowledges no sent data or has
        no room for more.
    """
    stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    stream.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms)
