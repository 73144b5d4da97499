"""One connection of a member."""

from typing import Any

from trio import (
    CancelScope,
    Event,
    MemorySendChannel,
    SocketStream,
    current_time,
    open_memory_channel,
)

from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.standins.cancel_on_close import cancel_on_close
from jackdawspread.standins.member.events.connection_lost import ConnectionLost
from jackdawspread.standins.member.events.connection_opened import ConnectionOpened
from jackdawspread.standins.member.events.submission import Submission
from jackdawspread.standins.member.member_codec import (
    decode_member_request,
    encode_refusal,
)
from jackdawspread.tasks.http_server_connection import HttpServerConnection


class MemberConnection:
    """Forwards the requests of one socket to the node and reports its closing.

    Parameters
    ----------
    id : int
        Id of the connection.
    stream : trio.SocketStream
        The accepted socket.
    node : trio.MemorySendChannel
        Inbox of the node.
    """

    def __init__(
        self, id: int, stream: SocketStream, node: MemorySendChannel[Any]
    ) -> None:
        self._id = id
        self._stream = stream
        self._node = node

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        await self._node.send(ConnectionOpened(self._id))
        try:
            await HttpServerConnection(self._stream, self._handle, Event()).run()
        finally:
            with CancelScope(shield=True, deadline=current_time() + 1):
                await self._node.send(ConnectionLost(self._id))

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        decoded = decode_member_request(request)
        if decoded.is_error():
            return encode_refusal(decoded.error)
        reply_to, replies = open_memory_channel[HttpResponse](1)
        await self._node.send(Submission(self._id, decoded.ok, reply_to))
        return await cancel_on_close(self._stream, replies.receive)
