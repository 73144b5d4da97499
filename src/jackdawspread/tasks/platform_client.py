"""Client of the platform."""

from itertools import count

from trio import (
    BrokenResourceError,
    MemoryReceiveChannel,
    MemorySendChannel,
    Nursery,
    current_time,
    open_memory_channel,
    open_nursery,
)

from jackdawspread.messages.http_call import HttpCall
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.messages.platform_call import PlatformCall
from jackdawspread.messages.platform_outcome import PlatformOutcome
from jackdawspread.tasks.http_client_connection import HttpClientConnection


class PlatformClient:
    """Makes the calls of its inbox in order, over one connection at a time.

    Every call gets exactly one outcome within its deadline. The connection of a
    failed call is not used again, so a late answer reaches nobody.

    Parameters
    ----------
    address : str
        ``IP:port`` of the platform.
    timeout : float
        Seconds that one call may take.
    inbox : trio.MemoryReceiveChannel
        Calls to make.
    outcomes : trio.MemorySendChannel
        Takes the outcomes; the client waits while it is full.
    """

    def __init__(
        self,
        address: str,
        timeout: float,
        inbox: MemoryReceiveChannel[PlatformCall],
        outcomes: MemorySendChannel[PlatformOutcome],
    ) -> None:
        self._address = address
        self._timeout = timeout
        self._inbox = inbox
        self._outcomes = outcomes
        self._connection_ids = count(1)
        self._calls: MemorySendChannel[HttpCall] | None = None

    async def run(self) -> None:
        """Make calls until cancelled or the inbox closes."""
        async with open_nursery() as nursery:
            async for call in self._inbox:
                outcome = await self._call(call, nursery)
                if outcome.error:
                    self._close()
                await self._outcomes.send(
                    PlatformOutcome(call.id, outcome.status, outcome.body, outcome.sent)
                )
            self._close()

    async def _call(self, call: PlatformCall, nursery: Nursery) -> HttpOutcome:
        send, receive = open_memory_channel[HttpOutcome](1)
        deadline = current_time() + self._timeout
        body = dict(call.body)
        http_call = HttpCall(call.id, "POST", call.target, body, deadline, send)
        try:
            await self._connect(nursery).send(http_call)
        except BrokenResourceError:
            # The previous answer ended the connection; this call was not sent.
            self._close()
            await self._connect(nursery).send(http_call)
        return await receive.receive()

    def _connect(self, nursery: Nursery) -> MemorySendChannel[HttpCall]:
        if self._calls is None:
            self._calls, inbox = open_memory_channel[HttpCall](0)
            id = next(self._connection_ids)
            nursery.start_soon(HttpClientConnection(id, self._address, inbox).run)
        return self._calls

    def _close(self) -> None:
        if self._calls is not None:
            self._calls.close()
            self._calls = None
