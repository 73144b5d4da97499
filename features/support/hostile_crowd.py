"""Crowd of clients that send what a well-behaved client does not."""

import socket
from selectors import EVENT_READ, EVENT_WRITE, DefaultSelector

# The crowd is done when its connections have made no progress for this long.
QUIET_S = 2.0
CONNECT_TIMEOUT_S = 5.0
PIECE_BYTES = 64 * 1024


class HostileCrowd:
    """Connections that send fixed bytes and stay open.

    Parameters
    ----------
    address : str
        ``IP:port`` to connect to.
    """

    def __init__(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        self._target = (host, int(port))
        self._connections: list[socket.socket] = []

    def send(self, count: int, data: bytes, reads: bool = True) -> None:
        """Open connections and send the bytes on each, as fast as they are taken.

        Answers are read and dropped meanwhile if ``reads`` is true.
        """
        with DefaultSelector() as selector:
            for _ in range(count):
                connection = self._connect()
                if connection is not None and data:
                    events = EVENT_WRITE | (EVENT_READ if reads else 0)
                    selector.register(connection, events, memoryview(data))
            while selector.get_map():
                ready = selector.select(QUIET_S)
                if not ready:
                    return
                for key, events in ready:
                    rest = _exchange(key.fileobj, key.data, events)
                    if rest is None or not (rest or reads):
                        selector.unregister(key.fileobj)
                    else:
                        wanted = EVENT_WRITE if rest else 0
                        wanted |= EVENT_READ if reads else 0
                        selector.modify(key.fileobj, wanted, rest)

    def reset(self, count: int, data: bytes) -> None:
        """Open connections, send the bytes on each and reset it at once."""
        for _ in range(count):
            connection = self._connect()
            if connection is not None:
                connection.send(data)
                linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                connection.close()

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections:
            connection.close()

    def _connect(self) -> socket.socket | None:
        try:
            connection = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
        except OSError:
            # The process refuses further connections, which it may.
            return None
        connection.setblocking(False)
        self._connections.append(connection)
        return connection


def _exchange(
    connection: socket.socket, data: memoryview, events: int
) -> memoryview | None:
    """Send and read what is possible; return the rest, None if closed."""
    try:
        if events & EVENT_READ and not connection.recv(PIECE_BYTES):
            return None
        if events & EVENT_WRITE:
            return data[connection.send(data[:PIECE_BYTES]) :]
    except BlockingIOError:
        return data
    except OSError:
        return None
    return data
