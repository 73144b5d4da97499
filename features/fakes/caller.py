"""HTTP caller over a memory stream."""

from typing import Any

from msgspec import json
from trio import BrokenResourceError, StapledStream

from jackdawspread.codecs.http_client_codec import HttpClientCodec


class Caller:
    """Sends requests on one connection; status 0 means that the connection ended."""

    def __init__(self, stream: StapledStream) -> None:
        self.stream = stream
        self._codec = HttpClientCodec("127.0.0.1")

    async def ask(
        self, method: str, target: str, body: Any = None, **headers: str
    ) -> tuple[int, dict[str, Any]]:
        """Send a request and return the status and the body of its answer."""
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        fields = tuple((name, value.encode("latin-1")) for name, value in names.items())
        data = b"" if body is None else json.encode(body)
        await self.stream.send_all(self._codec.encode(method, target, data, fields))
        return await self.receive()

    async def receive(self) -> tuple[int, dict[str, Any]]:
        """Return the status and the body of the next answer."""
        while (response := self._codec.next_response()) is None:
            try:
                data = await self.stream.receive_some(65536)
            except BrokenResourceError:
                return 0, {}
            if not data:
                return 0, {}
            self._codec.receive(data)
        if self._codec.is_reusable:
            self._codec.start_next()
        is_json = response.body.startswith(b"{")
        return response.status, json.decode(response.body) if is_json else {}
