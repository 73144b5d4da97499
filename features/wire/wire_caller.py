"""Caller that uses the wire protocol."""

from itertools import count

from trio import SocketStream, open_tcp_stream

_IDS = count(1)


class WireCaller:
    """Runs one session of a caller."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._buffer = b""
        self.opened = ""
        self.last_id = ""

    @classmethod
    async def open(cls, address: str, database: str, key: str) -> "WireCaller":
        """Connect and start a session."""
        host, port = address.rsplit(":", 1)
        caller = cls(await open_tcp_stream(host, int(port)))
        await caller.send_raw(f"START {database} {key}\r\n".encode())
        caller.opened = await caller.read_line()
        return caller

    async def query(self, text: str) -> list[str]:
        """Send a statement and return the lines of its answer."""
        self.last_id = f"c{next(_IDS):08x}"
        await self.send_raw(f"QUERY {self.last_id} {text}\r\n".encode())
        return await self.read_answer()

    async def read_answer(self) -> list[str]:
        """Return the lines up to READY, or to the end of the session."""
        lines = []
        while True:
            lines.append(await self.read_line())
            if not lines[-1] or lines[-1].startswith("READY"):
                return lines

    async def send_raw(self, data: bytes) -> None:
        """Send bytes unchanged."""
        await self._stream.send_all(data)

    async def close(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def read_line(self) -> str:
        """Return the next line, empty at the end of the session."""
        while b"\r\n" not in self._buffer:
            data = await self._stream.receive_some(4096)
            if not data:
                return ""
            self._buffer += data
        line, _, self._buffer = self._buffer.partition(b"\r\n")
        return line.decode("latin-1")
