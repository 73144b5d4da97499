"""Client of one HTTP server."""

from itertools import count
from typing import Any

from trio import (
    BrokenResourceError,
    MemorySendChannel,
    Nursery,
    open_memory_channel,
)

from jackdawspread.messages.http_call import HttpCall
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.tasks.http_client_connection import HttpClientConnection


class HttpClient:
    """Sends calls one after another, over one connection at a time.

    The connection of a failed call is not used again, so a late response is
    discarded.

    Parameters
    ----------
    address : str
        ``IP:port`` of the server.
    nursery : trio.Nursery
        Nursery that runs the connections.
    """

    def __init__(self, address: str, nursery: Nursery) -> None:
        self._address = address
        self._nursery = nursery
        self._ids = count(1)
        self._calls: MemorySendChannel[HttpCall] | None = None
        self._connection: HttpClientConnection | None = None

    async def call(
        self,
        method: str,
        target: str,
        body: dict[str, Any],
        deadline: float,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> HttpOutcome:
        """Send one call and return its outcome.

        A call that changes nothing (GET) may go on beyond its deadline while bytes of
        the response arrive.
        """
        send, receive = open_memory_channel[HttpOutcome](1)
        call = HttpCall(next(self._ids), method, target, body, deadline, send, headers)
        try:
            await self._connect().send(call)
        except BrokenResourceError:
            # The connection ended with the previous response; this call was not sent.
            self.close()
            await self._connect().send(call)
        outcome = await receive.receive()
        if outcome.error:
            self.close()
        return outcome

    @property
    def is_receiving(self) -> bool:
        """Whether a part of the response to the current call has arrived."""
        return self._connection is not None and self._connection.is_receiving

    def close(self) -> None:
        """Close the connection, if there is one, and end its call."""
        if self._calls is not None:
            self._calls.close()
            self._calls = None
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _connect(self) -> MemorySendChannel[HttpCall]:
        if self._calls is None:
            self._calls, inbox = open_memory_channel[HttpCall](0)
            connection = HttpClientConnection(next(self._ids), self._address, inbox)
            self._connection = connection
            self._nursery.start_soon(connection.run)
        return self._calls
