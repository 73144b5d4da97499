"""One connection of the platform."""

from typing import Any

from trio import (
    BrokenResourceError,
    EndOfChannel,
    Event,
    MemoryReceiveChannel,
    MemorySendChannel,
    SocketStream,
    open_memory_channel,
)

from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.standins.cancel_on_close import cancel_on_close
from jackdawspread.standins.platform.platform_codec import decode_platform_request
from jackdawspread.standins.platform.platform_submission import PlatformSubmission
from jackdawspread.tasks.http_server_connection import HttpServerConnection


class PlatformConnection:
    """Forwards the requests of one socket to the node.

    Parameters
    ----------
    stream : trio.SocketStream
        The accepted socket.
    node : trio.MemorySendChannel
        Inbox of the node.
    """

    def __init__(self, stream: SocketStream, node: MemorySendChannel[Any]) -> None:
        self._stream = stream
        self._node = node

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        await HttpServerConnection(self._stream, self._handle, Event()).run()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        decoded = decode_platform_request(request)
        if decoded.is_error():
            return decoded.error
        reply_to, replies = open_memory_channel[HttpResponse](1)
        await self._node.send(PlatformSubmission(decoded.ok, reply_to))

        async def wait() -> HttpResponse | None:
            return await _receive(replies)

        response = await cancel_on_close(self._stream, wait)
        if response is None:
            raise BrokenResourceError(
                "the platform closes the connection without an answer"
            )
        return response


async def _receive(replies: MemoryReceiveChannel[HttpResponse]) -> HttpResponse | None:
    try:
        return await replies.receive()
    except EndOfChannel:
        return None
