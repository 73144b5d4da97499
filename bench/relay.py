"""Bare relay: ``python -m bench.relay LISTEN UPSTREAM CONNECTIONS``.

It passes reads of the caller API on to a member with the same codecs as the proxy
and decides nothing, so that it bounds the rate of any proxy written with them.
"""

import sys

from trio import (
    Event,
    MemoryReceiveChannel,
    MemorySendChannel,
    open_memory_channel,
    run,
)

from bench.client.http_connection import HttpConnection
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.tasks.http_server import HttpServer
from jackdawspread.tasks.listen import listen

JSON_HEADERS = (("Content-Type", "application/json"),)


class Relay:
    """Passes reads on over a pool of connections.

    Parameters
    ----------
    upstream : str
        ``IP:port`` of the member.
    connections : int
        Connections to the member.
    """

    def __init__(self, upstream: str, connections: int) -> None:
        self._give: MemorySendChannel[HttpConnection]
        self._take: MemoryReceiveChannel[HttpConnection]
        self._give, self._take = open_memory_channel[HttpConnection](connections)
        for _ in range(connections):
            self._give.send_nowait(HttpConnection(upstream))

    async def connect(self) -> None:
        """Register every connection with the member, which refuses others."""
        for _ in range(self._take.statistics().current_buffer_used):
            connection = await self._take.receive()
            await connection.call("POST", "/connect", b'{"instance":"relay"}')
            self._give.send_nowait(connection)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request; the connection belongs to this task meanwhile."""
        if request.method != "POST":
            return HttpResponse(200, JSON_HEADERS, b"{}")
        connection = await self._take.receive()
        try:
            body = b'{"statement":' + request.body + b"}"
            reply = await connection.call("POST", "/read", body)
        finally:
            self._give.send_nowait(connection)
        return HttpResponse(reply.status or 502, JSON_HEADERS, reply.body)


async def _run(address: str, upstream: str, connections: str) -> None:
    relay = Relay(upstream, int(connections))
    await relay.connect()
    await HttpServer(await listen(address), relay.handle, Event()).run()


if __name__ == "__main__":
    address, upstream, connections = sys.argv[1:4]
    run(_run, address, upstream, connections)
